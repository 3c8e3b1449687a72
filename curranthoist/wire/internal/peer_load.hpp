#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace curranthoist::wire::internal {

// What an accepted connection holds and how it progresses.
struct peer_load
{
    // It has sent a whole message.
    bool greeted = false;
    base::instant opened = {};
    // When it last sent a whole message.
    base::instant last_message = {};
    // When a byte of it last moved, in either direction.
    base::instant last_progress = {};
    // Of frames that arrive and frames that wait to be read.
    std::size_t held_bytes = 0;
    // Of the frame that arrives, and when it began.
    std::size_t arrived_bytes = 0;
    base::instant frame_began = {};
};

// Chooses the connection to close so that another can be accepted; its index, or nothing
// if none may be closed. First the oldest one that has sent no message, then the one
// without a message for longest, if that is several seconds.
std::optional<std::size_t> peer_to_close_for_connection(std::span<const peer_load> loads,
                                                        base::instant now);

// Chooses the connection to close so that others find memory: of those that hold some,
// first the one without a message that holds most, then the one of which no byte has
// moved for longest, if that is half a second, then the frame that arrives at the lowest
// rate.
std::optional<std::size_t> peer_to_close_for_memory(std::span<const peer_load> loads,
                                                    base::instant now);

} // namespace curranthoist::wire::internal
