#pragma once

#include <cstdint>

namespace curranthoist::settings {

enum class replica_choice_policy : std::uint8_t
{
    two_choices,
    random,
    round_robin
};

enum class cold_return_policy : std::uint8_t
{
    // A cold target starts at a low pace that rises with good responses.
    paced,
    // A cold target gets its full share at once; a baseline for comparisons.
    immediate
};

// Which decisions the process uses. Everything but the defaults is a baseline that
// measurements compare with.
struct policy_settings
{
    replica_choice_policy replica_choice = replica_choice_policy::two_choices;
    bool hedging = true;
    // Off: parts go to targets without regard to their slots.
    bool admission = true;
    cold_return_policy cold_return = cold_return_policy::paced;
};

} // namespace curranthoist::settings
