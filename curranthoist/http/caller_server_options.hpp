#pragma once

#include "curranthoist/base/endpoint.hpp"

#include <cstddef>

namespace curranthoist::http {

// Address and limits of a caller_server.
struct caller_server_options
{
    // The only address it listens on. Port 0 lets the kernel choose a free port.
    base::endpoint listen;
    // Connections beyond this number are closed as soon as they are accepted.
    unsigned max_connections = 4096;
    // Request line and headers together; longer ones are refused with 431.
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    // Longer bodies are refused with 413.
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    // A connection that is silent for this time, while no request of it is being
    // answered, is closed. 0 means never.
    unsigned idle_seconds = 60;
};

} // namespace curranthoist::http
