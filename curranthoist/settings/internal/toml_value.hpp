#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace curranthoist::settings::internal {

struct toml_entry;

// One value of a TOML file with its place. It keeps toml++ out of every other source
// file, because including it takes seconds of compile time.
struct toml_value
{
    // Stands for dates and times, which no setting uses.
    struct other
    {};
    using array = std::vector<toml_value>;
    using table = std::map<std::string, toml_entry>;

    std::uint32_t line = 1;
    std::uint32_t column = 1;
    std::variant<other, bool, std::int64_t, double, std::string, array, table> data;
};

// A value and the place of its key.
struct toml_entry
{
    std::uint32_t line = 1;
    std::uint32_t column = 1;
    toml_value value;
};

} // namespace curranthoist::settings::internal
