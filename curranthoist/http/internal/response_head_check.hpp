#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace curranthoist::http::internal {

// Checks the head of a response against the grammar of RFC 9112 while it arrives, and
// finds its end. http_parser takes more: statuses of one digit or beyond 599, other major
// versions, blanks in names, folded lines and control characters.
//
//     response_head_check head;
//     const std::size_t size = head.read(bytes);
//     if (head.is_malformed()) { ... }
//     // bytes.substr(0, size) belongs to the head, and ends it if head.is_complete().
class response_head_check
{
public:
    // Takes bytes up to the end of the head or the first one that is wrong. Returns how
    // many belong to the head.
    std::size_t read(std::string_view bytes);

    [[nodiscard]] bool is_complete() const { return at_ == place::end; }
    [[nodiscard]] bool is_malformed() const { return at_ == place::error; }
    // The next byte begins another head.
    void restart();

private:
    // What the next byte belongs to.
    enum class place : std::uint8_t
    {
        // The version and the status, of fixed length.
        start_line,
        after_status,
        line_start,
        name,
        // The reason, or the value of a header.
        text,
        // A carriage return was read, in a line or in the empty line behind the last one.
        line_end,
        last_line_end,
        end,
        error,
    };

    [[nodiscard]] place next(unsigned char byte);
    [[nodiscard]] place next_in_start_line(unsigned char byte);
    [[nodiscard]] static place at_end_of_line(unsigned char byte);

    place at_ = place::start_line;
    std::size_t position_ = 0;
};

} // namespace curranthoist::http::internal
