#include "curranthoist/frontd/process_limits.hpp"

#include "curranthoist/frontd/send_memory.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::frontd {

namespace {

constexpr std::size_t max_caller_connections = 2500;
// Descriptors that the platform keeps for files.
constexpr std::size_t reserved_descriptors = 200;
// The part of the process's memory that callers' connections may take.
constexpr std::size_t caller_memory_divisor = 4;
// The part that the bodies of targets' responses may fill.
constexpr std::size_t response_memory_divisor = 8;
// The part that the bodies of callers' requests may fill.
constexpr std::size_t request_memory_divisor = 8;
// The part that open requests may take besides their bodies.
constexpr std::size_t send_memory_divisor = 4;
// The part that frames at the gatherers' port may take.
constexpr std::size_t gather_memory_divisor = 8;
// The longest body, and head, of a caller.
constexpr std::size_t max_gather_request_bytes = std::size_t{2} * 1024 * 1024;
// Other fronts, which number up to 1,000, have one connection each, and a second one
// while they replace it.
constexpr std::size_t max_gather_connections = 2048;
constexpr std::size_t min_gather_connections = 16;
// For the other ports, connections to core processes and gatherers, and the loop.
constexpr std::size_t own_descriptors = 160;
// The part of the connections that have no open request, so that one of them can make
// room for a new caller.
constexpr std::size_t idle_connection_divisor = 4;
// Longer than callers keep an idle connection, so that they close it first.
constexpr unsigned idle_seconds = 60;

} // namespace

std::size_t descriptor_share(const platform::node_settings& settings)
{
    const std::size_t usable =
        std::max(settings.max_descriptors, 2 * reserved_descriptors) -
        reserved_descriptors;
    return usable * 3 / 8;
}

std::size_t response_memory(const platform::node_settings& settings)
{
    return settings.memory_bytes / response_memory_divisor;
}

http::caller_server_options
caller_options(const platform::node_settings& settings,
               std::shared_ptr<http::memory_account> response_memory)
{
    http::caller_server_options result;
    result.listen = *settings.callers;
    result.max_connection_memory = settings.memory_bytes / caller_memory_divisor;
    const std::size_t connections =
        result.max_connection_memory /
        http::caller_server::connection_bytes(result.max_header_bytes);
    result.max_connections = static_cast<unsigned>(
        std::min({connections, descriptor_share(settings), max_caller_connections}));
    result.idle_seconds = idle_seconds;
    result.max_request_memory =
        std::max(settings.memory_bytes / request_memory_divisor, max_caller_body_bytes);
    result.response_memory = std::move(response_memory);
    return result;
}

std::size_t max_open_requests(std::size_t connections)
{
    return connections - connections / idle_connection_divisor;
}

forwarding::open_request_limit::options
open_request_options(const platform::node_settings& settings)
{
    return {max_open_requests(caller_options(settings, nullptr).max_connections),
            settings.memory_bytes / send_memory_divisor / bytes_for_send};
}

wire::peer_account::limits gather_port_limits(const platform::node_settings& settings)
{
    const std::size_t taken = reserved_descriptors + descriptor_share(settings) +
                              caller_options(settings, nullptr).max_connections +
                              own_descriptors;
    const std::size_t left =
        settings.max_descriptors > taken ? settings.max_descriptors - taken : 0;
    return {std::clamp(left, min_gather_connections, max_gather_connections),
            std::max(settings.memory_bytes / gather_memory_divisor,
                     2 * max_gather_request_bytes),
            max_gather_request_bytes};
}

} // namespace curranthoist::frontd
