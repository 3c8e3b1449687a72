#pragma once

#include <array>
#include <string_view>

namespace curranthoist::settings::internal {

constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warn", "error"};
constexpr std::size_t default_log_level = 1;

} // namespace curranthoist::settings::internal
