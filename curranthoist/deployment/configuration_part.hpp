#pragma once

#include <cstdint>

namespace curranthoist::deployment {

// The kinds of entries of a configuration.
enum class configuration_part : std::uint8_t
{
    route,
    service,
    team,
    limits,
    // The configuration itself.
    whole,
};

} // namespace curranthoist::deployment
