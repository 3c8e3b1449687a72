#include "curranthoist/frontd/process_limits.hpp"

#include "curranthoist/frontd/send_memory.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::frontd {

namespace {

constexpr std::size_t max_caller_connections = 2500;
// Descriptors that the platform keeps for files.
constexpr std::size_t reserved_descriptors = 200;
// For the program itself, its libraries, the configuration and the lists.
constexpr std::size_t program_bytes = std::size_t{16} * 1024 * 1024;
// The part of the shared memory that callers' connections may take.
constexpr std::size_t caller_memory_divisor = 4;
// The part that the bodies of targets' responses may fill.
constexpr std::size_t response_memory_divisor = 8;
// The part that the bodies of callers' requests may fill.
constexpr std::size_t request_memory_divisor = 8;
// The part that open requests may take besides their bodies.
constexpr std::size_t send_memory_divisor = 6;
// The parts that frames at the gatherers' port and its connections may take.
constexpr std::size_t gather_frame_divisor = 16;
constexpr std::size_t gather_connection_divisor = 16;
// The part of the memory for responses that only small ones may take.
constexpr std::size_t small_response_divisor = 4;
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

// The memory that callers, targets and other processes share.
std::size_t shared_memory(const platform::node_settings& settings)
{
    return std::max(settings.memory_bytes, 2 * program_bytes) - program_bytes;
}

} // namespace

std::size_t descriptor_share(const platform::node_settings& settings)
{
    const std::size_t usable =
        std::max(settings.max_descriptors, 2 * reserved_descriptors) -
        reserved_descriptors;
    return usable * 3 / 8;
}

std::shared_ptr<http::memory_account>
response_account(const platform::node_settings& settings)
{
    const std::size_t bytes = shared_memory(settings) / response_memory_divisor;
    const std::size_t small_reserve = bytes / small_response_divisor;
    return std::make_shared<http::memory_account>(bytes - small_reserve, small_reserve);
}

http::caller_server_options
caller_options(const platform::node_settings& settings,
               std::shared_ptr<http::memory_account> response_memory)
{
    http::caller_server_options result;
    result.listen = *settings.callers;
    result.max_connection_memory = shared_memory(settings) / caller_memory_divisor;
    const std::size_t connections =
        result.max_connection_memory /
        http::caller_server::connection_bytes(result.max_header_bytes);
    result.max_connections = static_cast<unsigned>(
        std::min({connections, descriptor_share(settings), max_caller_connections}));
    result.idle_seconds = idle_seconds;
    result.max_request_memory =
        std::max(shared_memory(settings) / request_memory_divisor, max_caller_body_bytes);
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
            shared_memory(settings) / send_memory_divisor / bytes_for_send};
}

wire::peer_account::limits gather_port_limits(const platform::node_settings& settings)
{
    const std::size_t taken = reserved_descriptors + descriptor_share(settings) +
                              caller_options(settings, nullptr).max_connections +
                              own_descriptors;
    const std::size_t left =
        settings.max_descriptors > taken ? settings.max_descriptors - taken : 0;
    const std::size_t affordable = shared_memory(settings) / gather_connection_divisor /
                                   wire::peer_account::uncounted_connection_bytes;
    return {std::clamp(std::min(left, affordable), min_gather_connections,
                       max_gather_connections),
            std::max(shared_memory(settings) / gather_frame_divisor,
                     2 * max_gather_request_bytes),
            max_gather_request_bytes};
}

std::size_t max_held_bytes(const platform::node_settings& settings)
{
    const http::caller_server_options callers = caller_options(settings, nullptr);
    const wire::peer_account::limits gatherers = gather_port_limits(settings);
    const auto probes = http::caller_server_options::for_probes({});
    // Readiness and metrics.
    constexpr std::size_t probe_ports = 2;
    return callers.max_connections *
               http::caller_server::connection_bytes(callers.max_header_bytes) +
           callers.max_request_memory +
           shared_memory(settings) / response_memory_divisor +
           open_request_options(settings).max_sends * bytes_for_send +
           gatherers.max_bytes +
           gatherers.max_connections * wire::peer_account::uncounted_connection_bytes +
           probe_ports * (probes.max_connections * http::caller_server::connection_bytes(
                                                       probes.max_header_bytes) +
                          probes.max_request_memory);
}

} // namespace curranthoist::frontd
