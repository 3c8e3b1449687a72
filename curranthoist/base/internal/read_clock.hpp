#pragma once

#include "curranthoist/base/instant.hpp"

#include <ctime>

namespace curranthoist::base::internal {

// Reads one of the kernel's clocks, rounded down to milliseconds.
inline instant read_clock(clockid_t clock)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
    timespec value{};
    clock_gettime(clock, &value);
    return instant(value.tv_sec * milliseconds_per_second +
                   value.tv_nsec / nanoseconds_per_millisecond);
}

} // namespace curranthoist::base::internal
