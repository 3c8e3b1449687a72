#pragma once

#include "curranthoist/base/duration.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace curranthoist::base {

// Counts durations by size, for the Prometheus text format. The bounds cover a target's
// ordinary answer up to the longest deadline of a caller.
class latency_histogram
{
public:
    void add(duration value);
    // The lines of one metric: its buckets, sum and count, in milliseconds. `labels` is a
    // label set (`key="value",...`) or empty.
    [[nodiscard]] std::string prometheus_lines(std::string_view name,
                                               std::string_view labels) const;

private:
    // Upper bounds in milliseconds.
    static constexpr std::array<std::int64_t, 13> bounds{
        5, 10, 20, 40, 60, 80, 120, 200, 400, 800, 1600, 3200, 8000};

    std::array<std::uint64_t, bounds.size() + 1> counts_{};
    std::int64_t sum_ms_ = 0;
};

} // namespace curranthoist::base
