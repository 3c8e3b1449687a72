#pragma once

#include "curranthoist/deployment/configuration_bounds.hpp"
#include "curranthoist/forwarding/open_request_limit.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/platform/node_settings.hpp"
#include "curranthoist/wire/peer_account.hpp"

#include <cstddef>
#include <memory>

namespace curranthoist::frontd {

// What one front process may hold at once, by the memory and descriptors of its VM.

// Bodies are kept in memory, so that the operators' limit holds only below this one.
constexpr std::size_t max_caller_body_bytes =
    deployment::configuration_bounds().max_body_bytes;

// The memory of connections follows the operators' limit up to this one.
constexpr std::size_t max_caller_header_bytes =
    deployment::configuration_bounds().max_header_bytes;

// The descriptors that callers' connections may take, and those to targets.
[[nodiscard]] std::size_t descriptor_share(const platform::node_settings& settings);

// The memory that the bodies of targets' responses may take.
[[nodiscard]] std::shared_ptr<http::memory_account>
response_account(const platform::node_settings& settings);

// The settings must have the address for callers.
[[nodiscard]] http::caller_server_options
caller_options(const platform::node_settings& settings,
               std::shared_ptr<http::memory_account> response_memory);

// The requests that may be open with so many connections.
[[nodiscard]] std::size_t max_open_requests(std::size_t connections);

[[nodiscard]] forwarding::open_request_limit::options
open_request_options(const platform::node_settings& settings);

// What other processes may hold at the gatherers' port.
[[nodiscard]] wire::peer_account::limits
gather_port_limits(const platform::node_settings& settings);

// All that callers, targets and other processes can make the process hold at once, with
// the operators' default limits. What is left of its memory is for the program itself,
// the configuration and the lists.
[[nodiscard]] std::size_t max_held_bytes(const platform::node_settings& settings);

} // namespace curranthoist::frontd
