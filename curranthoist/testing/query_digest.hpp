#pragma once

#include <cstdio>
#include <functional>
#include <string>
#include <string_view>

namespace curranthoist::testing {

// A short digest of a request's body. The stand-in target echoes it and the load
// generator compares it, so both must come from the same build.
inline std::string query_digest(std::string_view body)
{
    char text[17] = {};
    std::snprintf(text, sizeof text, "%016zx", std::hash<std::string_view>()(body));
    return text;
}

} // namespace curranthoist::testing
