#pragma once

#include "curranthoist/base/duration.hpp"

#include <cstdint>

namespace curranthoist::settings {

// What callers can make one entry process use.
struct entry_limits
{
    // What the process may use; the memory of connections, bodies and frames follows it.
    std::uint64_t memory_mb = 256;
    std::uint32_t max_connections = 1000;
    // Requests of callers that run at once; one more is refused as "not run".
    std::uint32_t max_concurrent_requests = 400;
    std::uint64_t max_header_bytes = 16384;
    // The upper bound for every service's own limit.
    std::uint64_t max_body_bytes = 1048576;
    std::uint32_t max_shards_per_query = 500;
    // The upper bound for every service's own longest deadline.
    base::duration max_deadline{5000};
    // A caller's connection without a request is closed after this time.
    base::duration idle_limit{30000};
};

} // namespace curranthoist::settings
