#pragma once

#include "curranthoist/base/endpoint.hpp"

namespace curranthoist::http::internal {

// Opens a non-blocking listening socket on exactly that address; port 0 lets the kernel
// choose. The caller owns the descriptor. Throws std::system_error.
int open_listening_socket(const base::endpoint& local);

// Lets the kernel drop the first packet of each new connection, while handshakes under
// way complete and the queue can still be accepted. Returns false if the kernel refuses
// the filter.
bool refuse_new_handshakes(int listener);

// The address that a socket is bound to.
base::endpoint bound_endpoint(int descriptor);

} // namespace curranthoist::http::internal
