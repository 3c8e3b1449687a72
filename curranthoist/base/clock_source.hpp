#pragma once

#include "curranthoist/base/instant.hpp"

#include <concepts>

namespace curranthoist::base {

// Anything that tells the time: monotonic_clock, wall_clock, or manual_clock in tests.
template <class Clock>
concept clock_source = requires(const Clock& clock)
{
    {
        clock.now()
        } -> std::same_as<instant>;
};

} // namespace curranthoist::base
