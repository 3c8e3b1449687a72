#pragma once

#include <cstdint>

namespace curranthoist::base {

// What this process exchanged with some peers.
struct traffic_count
{
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    // Requests and messages that it sent.
    std::uint64_t messages = 0;
};

} // namespace curranthoist::base
