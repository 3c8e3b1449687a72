#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/deployment/route.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace curranthoist::deployment {

// What all callers together may use of the targets of one service.
struct service_limits
{
    // Path of the targets' health endpoint.
    std::string health_path;
    // Connections that each target accepts from all VMs together.
    std::size_t max_connections = 1;
    // How long a target stays cold after its start.
    base::duration cold_time;
    // Requests a second that a cold target accepts from all VMs together.
    double cold_rate = 0.0;
};

// What a caller may send and how long it may take.
struct caller_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    base::duration header_time{3000};
    base::duration idle_time{15'000};
};

// The operators' complete configuration. A higher version replaces a lower one as a
// whole.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<base::service_id, service_limits> services;
    caller_limits limits;
};

} // namespace curranthoist::deployment
