#include "curranthoist/base/parse_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace curranthoist::base {

namespace {

// The greatest number of brackets that are open at once. A text whose quotes don't match
// gives any number; it is not JSON.
std::size_t nesting_depth(std::string_view text)
{
    std::size_t open = 0;
    std::size_t deepest = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (quoted) {
            i += letter == '\\' ? 1 : 0;
            quoted = letter != '"';
        }
        else if (letter == '"') {
            quoted = true;
        }
        else if (letter == '[' || letter == '{') {
            deepest = std::max(deepest, ++open);
        }
        else if ((letter == ']' || letter == '}') && open > 0) {
            --open;
        }
    }
    return deepest;
}

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    using nlohmann::json;
    return nesting_depth(text) > max_json_depth ? json(json::value_t::discarded)
                                                : json::parse(text, nullptr, false);
}

} // namespace curranthoist::base
