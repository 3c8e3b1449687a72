#pragma once

#include "curranthoist/deployment/configuration_part.hpp"
#include "curranthoist/deployment/field_change.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::deployment {

// An entry that differs between two configurations.
struct entry_change
{
    enum class change_kind : std::uint8_t
    {
        added,
        removed,
        changed,
    };

    configuration_part part = configuration_part::whole;
    // Empty for the limits.
    std::string name;
    change_kind kind = change_kind::changed;
    // For `changed` only.
    std::vector<field_change> fields;
    // Numbers of a team's keys; the keys themselves are secret.
    std::size_t keys_added = 0;
    std::size_t keys_withdrawn = 0;
};

} // namespace curranthoist::deployment
