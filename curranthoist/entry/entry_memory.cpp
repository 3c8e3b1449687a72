#include "curranthoist/entry/entry_memory.hpp"

#include "curranthoist/http/caller_server.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace curranthoist::entry {

namespace {

// The parts of the process's memory that callers' connections, their bodies and responses
// (each), frames of other VMs, and connections of other VMs may take.
constexpr std::size_t caller_divisor = 4;
constexpr std::size_t body_divisor = 8;
constexpr std::size_t frame_divisor = 8;
constexpr std::size_t peer_connection_divisor = 16;

std::size_t memory_bytes(const settings::entry_settings& settings)
{
    return settings.limits.memory_mb * 1024 * 1024;
}

} // namespace

http::caller_server_options caller_options(const settings::entry_settings& settings)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    http::caller_server_options options;
    options.listen = settings.callers;
    options.max_connections = settings.limits.max_connections;
    options.max_connection_memory = memory_bytes(settings) / caller_divisor;
    options.max_header_bytes = settings.limits.max_header_bytes;
    options.max_body_bytes = settings.limits.max_body_bytes;
    options.max_request_memory =
        std::max(memory_bytes(settings) / body_divisor, options.max_body_bytes);
    options.idle_seconds = static_cast<unsigned>(settings.limits.idle_limit.count() /
                                                 milliseconds_per_second);
    return options;
}

wire::peer_account::limits relay_limits(const settings::entry_settings& settings)
{
    wire::peer_account::limits result;
    result.max_connections = std::min(result.max_connections,
                                      memory_bytes(settings) / peer_connection_divisor /
                                          wire::peer_account::uncounted_connection_bytes);
    result.max_bytes =
        std::max(memory_bytes(settings) / frame_divisor, wire::max_envelope_bytes);
    return result;
}

} // namespace curranthoist::entry
