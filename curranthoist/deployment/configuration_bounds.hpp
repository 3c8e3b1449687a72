#pragma once

#include "curranthoist/base/duration.hpp"

#include <cstddef>

namespace curranthoist::deployment {

// What one VM carries, whatever a configuration allows.
struct configuration_bounds
{
    // Longer bodies get 413: bodies of requests share an eighth of a VM's memory.
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    // Each connection has memory for three times the longest head. Above the first limit
    // a VM takes fewer connections, above the second one too few to serve.
    std::size_t usual_header_bytes = std::size_t{16} * 1024;
    std::size_t max_header_bytes = std::size_t{256} * 1024;
    // One connection for requests, and one that is closing or belongs to a VM that has
    // just joined.
    std::size_t min_connections = 2;
    // A send to a target takes at least this long: a round trip and the work itself.
    base::duration min_try_time{2};
};

} // namespace curranthoist::deployment
