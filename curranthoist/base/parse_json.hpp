#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace curranthoist::base {

// The deepest nesting of brackets that parse_json() accepts. Documents of this project
// and of its users are nested four levels deep.
inline constexpr std::size_t max_json_depth = 32;
// The most values that parse_json() accepts in one text. Each takes some dozens of bytes
// beside its own; the configuration of a thousand routes has 300,000.
inline constexpr std::size_t max_json_values = 500'000;

// Parses a JSON text that another party may have written. Returns a discarded value if
// the text is not JSON, is nested more deeply than max_json_depth or has more than
// max_json_values. Copying or printing a JSON value takes a stack frame for each level,
// so that a deep one would end the process, and short values take many times the memory
// of their text.
//
//     const nlohmann::json value = base::parse_json(body);
//     if (value.is_discarded()) { ... }
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

} // namespace curranthoist::base
