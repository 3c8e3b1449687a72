#include "curranthoist/base/parse_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace curranthoist::base {

namespace {

struct json_extent
{
    // The greatest number of brackets that are open at once.
    std::size_t depth = 0;
    // At least the number of values.
    std::size_t values = 1;
};

// A text whose quotes don't match gives any extent; it is not JSON.
json_extent extent_of(std::string_view text)
{
    json_extent result;
    std::size_t open = 0;
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
            result.depth = std::max(result.depth, ++open);
            ++result.values;
        }
        else if (letter == ',') {
            ++result.values;
        }
        else if ((letter == ']' || letter == '}') && open > 0) {
            --open;
        }
    }
    return result;
}

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    using nlohmann::json;
    const json_extent extent = extent_of(text);
    return extent.depth > max_json_depth || extent.values > max_json_values
               ? json(json::value_t::discarded)
               : json::parse(text, nullptr, false);
}

} // namespace curranthoist::base
