#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>

namespace curranthoist::admission {

// Baseline policy for comparisons: a restarted target receives its full load at once.
struct immediate_warmup
{
    void turn_cold(base::instant) {}
    void restore(std::uint64_t, bool) {}
    void on_start(base::instant) {}
    void on_fast_response(std::uint64_t) {}
    void on_slow_response() {}
    void on_overload() {}

    [[nodiscard]] bool warm() const { return true; }
    [[nodiscard]] std::uint64_t pace_milli_per_s() const { return 0; }
    [[nodiscard]] base::instant next_start() const { return {}; }
    [[nodiscard]] base::duration interval() const { return {}; }
};

} // namespace curranthoist::admission
