#pragma once

#include "curranthoist/base/duration.hpp"

#include <compare>
#include <cstdint>
#include <limits>

namespace curranthoist::base {

// A point in time in whole milliseconds since the start of one clock. Instants of
// different clocks (monotonic and wall) must not be compared.
class instant
{
public:
    constexpr instant() = default;
    constexpr explicit instant(std::int64_t milliseconds)
        : milliseconds_(milliseconds)
    {}

    // A point later than any that a clock returns, for "never".
    [[nodiscard]] static constexpr instant max()
    {
        return instant(std::numeric_limits<std::int64_t>::max());
    }

    // Milliseconds since the clock's start.
    [[nodiscard]] constexpr std::int64_t count() const { return milliseconds_; }

    constexpr auto operator<=>(const instant&) const = default;

private:
    std::int64_t milliseconds_ = 0;
};

constexpr instant operator+(instant at, duration by)
{
    return instant(at.count() + by.count());
}
constexpr instant operator-(instant at, duration by)
{
    return instant(at.count() - by.count());
}
constexpr duration operator-(instant later, instant earlier)
{
    return duration(later.count() - earlier.count());
}

} // namespace curranthoist::base
