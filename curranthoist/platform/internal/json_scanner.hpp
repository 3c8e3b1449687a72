#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace curranthoist::platform::internal {

// Walks the structure of a JSON text without decoding its values, so that one value which
// can't be decoded does not spoil those beside it. It uses no recursion and allocates
// only a stack of a byte per open bracket.
//
//     json_scanner scan(text);
//     if (scan.take('[')) {
//         while (const auto element = scan.take_value()) { ...; if (!scan.take(','))
//         break; }
//     }
class json_scanner
{
public:
    // A value as its bytes in the text, and how deeply its brackets are nested.
    struct value
    {
        std::string_view text;
        std::size_t depth = 0;
    };

    // The text must outlive the scanner and the values.
    explicit json_scanner(std::string_view text)
        : text_(text)
    {}

    // Takes the next character after blanks if it is `expected`.
    bool take(char expected);
    // Takes the next value. Returns nothing, without moving, if there is none or if its
    // quotes or brackets don't match.
    std::optional<value> take_value();
    // Moves to the opening brace of the next object that follows a comma, behind a value
    // whose end can't be found. Returns the bytes that were passed over, or nothing if no
    // object follows.
    std::optional<std::string_view> skip_to_next_object();
    // True if only blanks are left.
    [[nodiscard]] bool at_end();

private:
    void skip_blanks();
    // Returns the position behind the string that starts at `from`, or npos.
    [[nodiscard]] std::size_t end_of_string(std::size_t from) const;

    std::string_view text_;
    std::size_t position_ = 0;
};

} // namespace curranthoist::platform::internal
