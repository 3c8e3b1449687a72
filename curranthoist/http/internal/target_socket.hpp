#pragma once

#include "curranthoist/base/endpoint.hpp"

namespace curranthoist::http::internal {

// Begins to connect a non-blocking socket; the caller owns the descriptor. Negative if
// the kernel refuses.
int begin_connect(const base::endpoint& remote);

// True if a connect that has ended was successful.
bool has_connected(int descriptor);

// True if the peer sent something, or closed, while no request was open.
bool has_unexpected_input(int descriptor);

} // namespace curranthoist::http::internal
