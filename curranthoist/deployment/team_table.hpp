#pragma once

#include "curranthoist/deployment/team.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <unordered_map>

namespace curranthoist::deployment {

// Finds the team that holds a key. How long it takes tells nothing about the keys: the
// key's hash selects the candidates, and each is compared whole.
//
//     const team_table table(configuration.teams);
//     const team* found = table.find(key);
class team_table
{
public:
    // Refers to the teams, which must outlive it.
    explicit team_table(std::span<const team> teams);

    // The team of the key, or null if no team holds it.
    [[nodiscard]] const team* find(std::string_view key) const;
    // True if there are no teams: requests carry no keys then.
    [[nodiscard]] bool empty() const { return teams_.empty(); }
    [[nodiscard]] std::span<const team> teams() const { return teams_; }

private:
    struct held_key
    {
        std::string_view text;
        const team* holder;
    };

    std::span<const team> teams_;
    std::unordered_multimap<std::size_t, held_key> keys_;
};

} // namespace curranthoist::deployment
