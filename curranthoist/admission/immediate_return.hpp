#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>

namespace curranthoist::admission {

// Baseline: a restarted target gets its full share of work at once.
struct immediate_return
{
    void turn_cold(base::instant) {}
    void inherit(std::uint64_t, bool) {}
    void on_start(base::instant) {}
    void on_good(std::uint64_t) {}
    void on_slow() {}
    void on_overload() {}

    [[nodiscard]] bool warm() const { return true; }
    [[nodiscard]] std::uint64_t pace_milli_per_s() const { return 0; }
    [[nodiscard]] base::instant next_start() const { return {}; }
    [[nodiscard]] base::duration interval() const { return {}; }
};

} // namespace curranthoist::admission
