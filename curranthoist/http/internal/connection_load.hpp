#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace curranthoist::http::internal {

// What a caller's connection is busy with.
enum class connection_state
{
    // Between requests, or with a head that is not complete.
    idle,
    // The body of a request is arriving.
    receiving,
    // The handler has the request.
    running,
    // The caller is reading a response.
    sending,
};

// What a connection holds and how it progresses.
struct connection_load
{
    connection_state state = connection_state::idle;
    // When this state began, and when the last byte of it moved.
    base::instant began;
    base::instant last_progress;
    // Of the body that has arrived.
    std::size_t bytes = 0;
};

// What there is too little of.
enum class shortage
{
    connections,
    request_memory,
    response_memory,
};

// Chooses the connection to close so that others can be served; its index, or nothing if
// none may be closed. Load pattern: callers that open many connections, stop in the
// middle of a head or a body, or leave long responses unread.
//
// Idle connections go first, the longest idle one of them, then the body that arrives
// at the lowest rate, then the response that has been unread for longest. A response that
// has moved within the last half second stays, and so does each request that runs.
std::optional<std::size_t> connection_to_close(std::span<const connection_load> loads,
                                               shortage what, base::instant now);

} // namespace curranthoist::http::internal
