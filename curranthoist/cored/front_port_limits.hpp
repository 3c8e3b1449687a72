#pragma once

#include "curranthoist/platform/node_settings.hpp"
#include "curranthoist/wire/frame_codec.hpp"
#include "curranthoist/wire/peer_account.hpp"

#include <algorithm>
#include <cstddef>

namespace curranthoist::cored {

// The limits of the port for fronts and other core processes. Each of up to 1,000 fronts
// has one connection, and a second one while it replaces it.
inline wire::peer_account::limits
front_port_limits(const platform::node_settings& settings)
{
    constexpr std::size_t max_connections = 2048;
    constexpr std::size_t min_connections = 16;
    // For files, operators, connections to other members and the loop.
    constexpr std::size_t other_descriptors = 500;
    // The part of the process's memory that frames may take.
    constexpr std::size_t memory_divisor = 4;
    const std::size_t left = settings.max_descriptors > other_descriptors
                                 ? settings.max_descriptors - other_descriptors
                                 : 0;
    return {std::clamp(left, min_connections, max_connections),
            std::max(settings.memory_bytes / memory_divisor, wire::max_envelope_bytes),
            wire::max_envelope_bytes};
}

} // namespace curranthoist::cored
