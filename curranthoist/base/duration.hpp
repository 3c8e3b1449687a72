#pragma once

#include <compare>
#include <cstdint>

namespace curranthoist::base {

// A length of time in whole milliseconds. It may be negative. Use it for every timeout,
// delay and lease length, so that a plain integer can't be mistaken for another unit:
//
//     const base::duration wait = 250_ms;
class duration
{
public:
    constexpr duration() = default;
    constexpr explicit duration(std::int64_t milliseconds)
        : milliseconds_(milliseconds)
    {}

    // The length in milliseconds.
    [[nodiscard]] constexpr std::int64_t count() const { return milliseconds_; }
    // The length in seconds, for libraries that take floating-point seconds.
    [[nodiscard]] constexpr double seconds() const
    {
        constexpr double milliseconds_per_second = 1000.0;
        return static_cast<double>(milliseconds_) / milliseconds_per_second;
    }

    constexpr auto operator<=>(const duration&) const = default;

    constexpr duration& operator+=(duration other)
    {
        milliseconds_ += other.milliseconds_;
        return *this;
    }
    constexpr duration& operator-=(duration other)
    {
        milliseconds_ -= other.milliseconds_;
        return *this;
    }

private:
    std::int64_t milliseconds_ = 0;
};

constexpr duration operator+(duration a, duration b)
{
    return duration(a.count() + b.count());
}
constexpr duration operator-(duration a, duration b)
{
    return duration(a.count() - b.count());
}
constexpr duration operator*(duration a, std::int64_t factor)
{
    return duration(a.count() * factor);
}
constexpr duration operator/(duration a, std::int64_t divisor)
{
    return duration(a.count() / divisor);
}

inline namespace literals {

constexpr duration operator""_ms(unsigned long long milliseconds)
{
    return duration(static_cast<std::int64_t>(milliseconds));
}
constexpr duration operator""_s(unsigned long long seconds)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    return duration(static_cast<std::int64_t>(seconds) * milliseconds_per_second);
}

} // namespace literals

} // namespace curranthoist::base
