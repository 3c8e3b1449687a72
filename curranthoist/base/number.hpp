#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace curranthoist::base {

// A count or sequence number. `Tag` makes each kind a type of its own, so that a term
// can't be passed where a revision is expected.
template <class Tag>
class number
{
public:
    constexpr number() = default;
    constexpr explicit number(std::uint64_t value)
        : value_(value)
    {}

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    // The number that follows this one.
    [[nodiscard]] constexpr number next() const { return number(value_ + 1); }

    constexpr auto operator<=>(const number&) const = default;

private:
    std::uint64_t value_ = 0;
};

} // namespace curranthoist::base

template <class Tag>
struct std::hash<curranthoist::base::number<Tag>>
{
    std::size_t operator()(curranthoist::base::number<Tag> value) const noexcept
    {
        return std::hash<std::uint64_t>()(value.value());
    }
};
