#pragma once

#include "curranthoist/deployment/team.hpp"

#include <cstddef>
#include <optional>
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
    // Refers to the teams, which must outlive it. Without a list of teams requests carry
    // no keys; with an empty one they do, and no key is known.
    explicit team_table(std::optional<std::span<const team>> teams);

    // The team of the key, or null if no team holds it.
    [[nodiscard]] const team* find(std::string_view key) const;
    // True if a request is served only with the key of a team, or on a public route.
    [[nodiscard]] bool requires_keys() const { return requires_keys_; }

private:
    struct held_key
    {
        std::string_view text;
        const team* holder;
    };

    bool requires_keys_;
    std::unordered_multimap<std::size_t, held_key> keys_;
};

} // namespace curranthoist::deployment
