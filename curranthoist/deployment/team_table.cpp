#include "curranthoist/deployment/team_table.hpp"

#include <functional>

namespace curranthoist::deployment {

namespace {

// Takes the same time for all texts of the same length.
bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

} // namespace

team_table::team_table(std::optional<std::span<const team>> teams)
    : requires_keys_(teams.has_value())
{
    for (const team& one : teams.value_or(std::span<const team>())) {
        for (const std::string& key : one.keys) {
            keys_.emplace(std::hash<std::string_view>()(key), held_key{key, &one});
        }
    }
}

const team* team_table::find(std::string_view key) const
{
    const team* found = nullptr;
    const auto [first, last] = keys_.equal_range(std::hash<std::string_view>()(key));
    for (auto one = first; one != last; ++one) {
        if (equal_in_constant_time(one->second.text, key)) {
            found = one->second.holder;
        }
    }
    return found;
}

} // namespace curranthoist::deployment
