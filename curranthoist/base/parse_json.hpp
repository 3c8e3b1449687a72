#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace curranthoist::base {

// The deepest nesting of brackets that parse_json() accepts. Documents of this project
// and of its users are nested four levels deep.
inline constexpr std::size_t max_json_depth = 32;

// Parses a JSON text that another party may have written. Returns a discarded value if
// the text is not JSON or is nested more deeply than max_json_depth. Copying or printing
// a JSON value takes a stack frame for each level, so that a deep one would end the
// process.
//
//     const nlohmann::json value = base::parse_json(body);
//     if (value.is_discarded()) { ... }
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

} // namespace curranthoist::base
