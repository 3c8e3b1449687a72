#pragma once

#include <algorithm>
#include <cstddef>

namespace curranthoist::frontd {

// What a send to a target takes of the memory for open requests, besides the body.
inline constexpr std::size_t bytes_for_send = std::size_t{4} * 1024;

// What a request needs of the memory for open requests.
struct send_demand
{
    std::size_t sends = 1;
    // Of the caller's request line and headers.
    std::size_t head_bytes = 0;
    // Kept of each answer until the request ends.
    std::size_t kept_answer_bytes = 0;
    std::size_t body_bytes = 0;
};

// Returns the demand as a number of sends of bytes_for_send. Usual requests need one for
// each send. Load pattern: queries with long heads, each of whose many sends has its own
// copies of the head.
constexpr std::size_t counted_sends(const send_demand& demand)
{
    // The call, its connection, and the record of the send.
    constexpr std::size_t own_bytes = std::size_t{2} * 1024;
    // One waits in the call, one is the text that is sent.
    constexpr std::size_t head_copies = 2;
    const std::size_t of_each =
        own_bytes + head_copies * demand.head_bytes + demand.kept_answer_bytes;
    const std::size_t bytes =
        demand.head_bytes + demand.sends * of_each + demand.body_bytes;
    return std::max(demand.sends, (bytes + bytes_for_send - 1) / bytes_for_send);
}

} // namespace curranthoist::frontd
