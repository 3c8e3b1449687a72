#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/deployment/route.hpp"
#include "curranthoist/deployment/team.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::deployment {

// Limits on the load that all callers together put on the targets of one service.
struct service_limits
{
    // Path of the health endpoint that every target of the service has.
    std::string health_path;
    // Maximum number of connections that each target accepts from all VMs together.
    std::size_t max_connections = 1;
    // How long a target is cold (still warming up) after its start.
    base::duration cold_time;
    // Maximum rate, in requests per second, that a cold target accepts from all VMs
    // together.
    double cold_requests_per_second = 0.0;
};

// Limits on the size of a caller's request and on the time that a caller may take.
struct caller_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    base::duration header_timeout{3000};
    base::duration idle_timeout{15'000};
};

// The complete configuration set by the operators. A configuration with a higher version
// replaces the whole of one with a lower version.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<base::service_id, service_limits> services;
    caller_limits limits;
    // Absent if requests carry no keys. An empty list is something else: requests carry
    // keys then, and no key is known.
    std::optional<std::vector<team>> teams;
};

} // namespace curranthoist::deployment
