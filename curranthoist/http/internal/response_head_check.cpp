#include "curranthoist/http/internal/response_head_check.hpp"

namespace curranthoist::http::internal {

namespace {

// 'd' stands for a digit and 's' for the first digit of a status, 1 to 5.
constexpr std::string_view start_line_form = "HTTP/1.d sdd";

bool is_digit(unsigned char byte)
{
    return byte >= '0' && byte <= '9';
}

bool is_name_byte(unsigned char byte)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_digit(byte) || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           marks.find(static_cast<char>(byte)) != std::string_view::npos;
}

// A byte of a header's value or of the reason: text, blanks, and bytes beyond ASCII.
bool is_text_byte(unsigned char byte)
{
    constexpr unsigned char del = 0x7f;
    return byte == '\t' || (byte >= ' ' && byte != del);
}

} // namespace

std::size_t response_head_check::read(std::string_view bytes)
{
    std::size_t size = 0;
    while (size < bytes.size() && !is_complete() && !is_malformed()) {
        at_ = next(static_cast<unsigned char>(bytes[size]));
        ++size;
    }
    return size;
}

void response_head_check::restart()
{
    at_ = place::start_line;
    position_ = 0;
}

response_head_check::place response_head_check::next_in_start_line(unsigned char byte)
{
    const char form = start_line_form[position_++];
    const bool fits = form == 'd'   ? is_digit(byte)
                      : form == 's' ? byte >= '1' && byte <= '5'
                                    : byte == static_cast<unsigned char>(form);
    if (!fits) {
        return place::error;
    }
    return position_ == start_line_form.size() ? place::after_status : place::start_line;
}

response_head_check::place response_head_check::at_end_of_line(unsigned char byte)
{
    if (byte == '\r') {
        return place::line_end;
    }
    // A line may end without a carriage return.
    return byte == '\n' ? place::line_start : place::error;
}

response_head_check::place response_head_check::next(unsigned char byte)
{
    switch (at_) {
    case place::start_line:
        return next_in_start_line(byte);
    case place::after_status:
        // Many servers leave the blank out if they give no reason.
        return byte == ' ' ? place::text : at_end_of_line(byte);
    case place::text:
        return is_text_byte(byte) ? place::text : at_end_of_line(byte);
    case place::line_start:
        if (byte == '\r') {
            return place::last_line_end;
        }
        if (byte == '\n') {
            return place::end;
        }
        return is_name_byte(byte) ? place::name : place::error;
    case place::name:
        if (byte == ':') {
            return place::text;
        }
        return is_name_byte(byte) ? place::name : place::error;
    case place::line_end:
        return byte == '\n' ? place::line_start : place::error;
    case place::last_line_end:
        return byte == '\n' ? place::end : place::error;
    case place::end:
    case place::error:
        break;
    }
    return place::error;
}

} // namespace curranthoist::http::internal
