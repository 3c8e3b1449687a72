#pragma once

#include <ev++.h>

#include <cstdint>

namespace curranthoist::http::internal {

// One open socket of a target_client.
struct target_socket
{
    explicit target_socket(ev::loop_ref loop)
        : watcher(loop)
    {}

    ev::io watcher;
    // The client's number of this connection.
    std::uint64_t number = 0;
    // The call that it was opened for.
    std::uint64_t opened_by = 0;
    // Its local port, once it is connected; libcurl names a connection by it.
    int local_port = 0;
    // Calls that were sent on it.
    std::uint64_t calls = 0;
};

} // namespace curranthoist::http::internal
