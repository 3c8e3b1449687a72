#pragma once

#include "curranthoist/settings/internal/toml_value.hpp"

#include <string>
#include <string_view>

namespace curranthoist::settings::internal {

// The root table of `text`. Throws base::findings_error with the place of a syntax error;
// `file` is the name that it uses.
toml_value parse_toml(std::string_view text, const std::string& file);

// The content of `file`. Throws base::findings_error if it can't be read.
std::string read_file(const std::string& file);

} // namespace curranthoist::settings::internal
