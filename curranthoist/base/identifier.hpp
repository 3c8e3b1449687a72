#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace curranthoist::base {

// A name in text. `Tag` makes each kind of identifier a type of its own, so that a VM's
// name can't be passed where a target's is expected.
template <class Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string text)
        : text_(std::move(text))
    {}
    explicit identifier(std::string_view text)
        : text_(text)
    {}
    explicit identifier(const char* text)
        : text_(text)
    {}

    [[nodiscard]] const std::string& str() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    auto operator<=>(const identifier&) const = default;

private:
    std::string text_;
};

} // namespace curranthoist::base

template <class Tag>
struct std::hash<curranthoist::base::identifier<Tag>>
{
    std::size_t
    operator()(const curranthoist::base::identifier<Tag>& value) const noexcept
    {
        return std::hash<std::string>()(value.str());
    }
};
