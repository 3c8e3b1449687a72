#pragma once

#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/platform/node_settings.hpp"

#include <algorithm>
#include <cstddef>

namespace curranthoist::cored {

// Longer than a configuration with several thousand routes.
inline constexpr std::size_t max_operator_body_bytes = std::size_t{6} * 1024 * 1024;

// The limits of the port for operators, which anybody may reach. Operators send a few
// orders at once.
inline http::caller_server_options
operator_server_options(const platform::node_settings& settings)
{
    constexpr std::size_t max_connections = 256;
    // The parts of the process's memory that connections and bodies may take.
    constexpr std::size_t connection_memory_divisor = 16;
    constexpr std::size_t body_memory_divisor = 8;
    http::caller_server_options result{.listen = *settings.operators,
                                       .max_body_bytes = max_operator_body_bytes};
    const std::size_t connections =
        settings.memory_bytes / connection_memory_divisor /
        http::caller_server::connection_bytes(result.max_header_bytes);
    result.max_connections =
        static_cast<unsigned>(std::clamp<std::size_t>(connections, 1, max_connections));
    result.max_request_memory =
        std::max(settings.memory_bytes / body_memory_divisor, max_operator_body_bytes);
    return result;
}

} // namespace curranthoist::cored
