#pragma once

#include "curranthoist/http/header_map.hpp"

#include <algorithm>
#include <string_view>

namespace curranthoist::http::internal {

// Whether each header's name is a token (RFC 9110, 5.6.2). libmicrohttpd also takes names
// with spaces, which another server may read as a different header.
inline bool are_tokens(const header_map& headers)
{
    constexpr std::string_view token_letters =
        "!#$%&'*+-.^_`|~0123456789"
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    return std::all_of(headers.begin(), headers.end(), [&](const auto& header) {
        return !header.first.empty() &&
               header.first.find_first_not_of(token_letters) == std::string_view::npos;
    });
}

} // namespace curranthoist::http::internal
