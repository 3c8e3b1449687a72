#pragma once

#include "curranthoist/base/endpoint.hpp"

#include <cstddef>
#include <memory>
#include <utility>

namespace curranthoist::http {

class memory_account;

// Address and limits of a caller_server.
struct caller_server_options
{
    // The only address it listens on. Port 0 lets the kernel choose a free port.
    base::endpoint listen;
    // A connection beyond this number takes the place of one that is idle, or of a
    // request or response that makes the least progress. While every connection has a
    // request that runs, it is closed as soon as it is accepted.
    unsigned max_connections = 4096;
    // The memory of all connections together; longer heads take more for each, so that
    // there are fewer of them. 0 means no limit. At least one connection is taken.
    std::size_t max_connection_memory = 0;
    // Request line and headers together; longer ones are refused with 431.
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    // Longer bodies are refused with 413.
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    // A connection that is silent for this time, while no request of it is being
    // answered, is closed. 0 means never.
    unsigned idle_seconds = 60;
    // The bodies of all requests together, from their first byte until the handler lets
    // them go. What does not fit is refused with 503, the slowest body first. Must hold
    // the longest body.
    std::size_t max_request_memory = std::size_t{64} * 1024 * 1024;
    // Counts long responses until their callers have read them; null for an account of
    // the server's own with as much room. One that has not been read for half a second
    // makes room for others, by the end of its connection.
    std::shared_ptr<memory_account> response_memory = nullptr;

    // The limits of a port where a few askers send requests without bodies: health
    // checks, metrics.
    [[nodiscard]] static caller_server_options for_probes(base::endpoint listen)
    {
        caller_server_options result;
        result.listen = std::move(listen);
        result.max_connections = 32;
        result.max_body_bytes = std::size_t{4} * 1024;
        result.max_request_memory = std::size_t{1024} * 1024;
        return result;
    }
};

} // namespace curranthoist::http
