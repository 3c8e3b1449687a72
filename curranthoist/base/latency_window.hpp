#pragma once

#include "curranthoist/base/duration.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace curranthoist::base {

// The most recent durations of one kind and their quantiles. Use it where a recent
// percentile steers a decision; the window follows a change of speed within 128 samples:
//
//     latency_window window;
//     window.add(12_ms);
//     const auto p99 = window.quantile(99);
class latency_window
{
public:
    void add(base::duration sample);
    // The value that `percent` of the samples don't exceed; nothing without samples.
    [[nodiscard]] std::optional<base::duration> quantile(int percent) const;
    // The share of the samples that exceed the limit; 0 without samples.
    [[nodiscard]] double share_above(base::duration limit) const;
    [[nodiscard]] std::size_t size() const { return size_; }
    void clear();

private:
    static constexpr std::size_t capacity = 128;

    std::array<base::duration, capacity> samples_{};
    std::size_t size_ = 0;
    std::size_t next_ = 0;
};

} // namespace curranthoist::base
