#pragma once

#include <algorithm>
#include <string_view>

namespace curranthoist::entry {

// Whether a text may be a request id: 1 to 128 printable ASCII characters. A request id
// becomes an HTTP header and part of log lines, so a line break in it could forge both.
inline bool is_request_id(std::string_view text)
{
    constexpr std::size_t max_bytes = 128;
    constexpr char first_printable = ' ';
    constexpr char last_printable = '~';
    return !text.empty() && text.size() <= max_bytes &&
           std::all_of(text.begin(), text.end(), [](char letter) {
               return letter >= first_printable && letter <= last_printable;
           });
}

} // namespace curranthoist::entry
