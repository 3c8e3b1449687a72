#include "curranthoist/platform/internal/json_scanner.hpp"

#include <algorithm>
#include <string>

namespace curranthoist::platform::internal {

namespace {

constexpr std::string_view blanks = " \t\r\n";

} // namespace

void json_scanner::skip_blanks()
{
    position_ = std::min(text_.find_first_not_of(blanks, position_), text_.size());
}

bool json_scanner::at_end()
{
    skip_blanks();
    return position_ == text_.size();
}

bool json_scanner::take(char expected)
{
    skip_blanks();
    if (position_ == text_.size() || text_[position_] != expected) {
        return false;
    }
    ++position_;
    return true;
}

std::size_t json_scanner::end_of_string(std::size_t from) const
{
    for (std::size_t at = from + 1; at < text_.size(); ++at) {
        if (text_[at] == '\\') {
            ++at;
        }
        else if (text_[at] == '"') {
            return at + 1;
        }
    }
    return std::string_view::npos;
}

std::optional<json_scanner::value> json_scanner::take_value()
{
    skip_blanks();
    const std::size_t begin = position_;
    std::size_t at = begin;
    std::size_t depth = 0;
    // The closing brackets that are still due.
    std::string due;
    const auto value_until = [&](std::size_t end) -> std::optional<value> {
        if (end == begin) {
            return std::nullopt;
        }
        position_ = end;
        std::string_view taken = text_.substr(begin, end - begin);
        taken = taken.substr(0, taken.find_last_not_of(blanks) + 1);
        return value{taken, depth};
    };
    while (at < text_.size()) {
        const char letter = text_[at];
        if (letter == '"') {
            at = end_of_string(at);
            if (at == std::string_view::npos) {
                return std::nullopt;
            }
            continue;
        }
        if (letter == '[' || letter == '{') {
            due += letter == '[' ? ']' : '}';
            depth = std::max(depth, due.size());
        }
        else if (letter == ']' || letter == '}') {
            if (due.empty()) {
                return value_until(at);
            }
            if (due.back() != letter) {
                return std::nullopt;
            }
            due.pop_back();
        }
        else if ((letter == ',' || letter == ':') && due.empty()) {
            return value_until(at);
        }
        ++at;
    }
    return due.empty() ? value_until(at) : std::nullopt;
}

std::optional<std::string_view> json_scanner::skip_to_next_object()
{
    const std::size_t begin = position_;
    for (std::size_t comma = text_.find(',', begin); comma != std::string_view::npos;
         comma = text_.find(',', comma + 1)) {
        const std::size_t next = text_.find_first_not_of(blanks, comma + 1);
        if (next != std::string_view::npos && text_[next] == '{') {
            position_ = next;
            return text_.substr(begin, comma - begin);
        }
    }
    return std::nullopt;
}

} // namespace curranthoist::platform::internal
