#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/settings/entry_limits.hpp"

#include <cstddef>
#include <string>

namespace curranthoist::control {
struct configuration;
} // namespace curranthoist::control

namespace curranthoist::entry {

// What the filters look at besides the request.
struct process_state
{
    // By the monotonic clock.
    base::instant now;
    bool refusing = false;
    bool lease_valid = false;
    // This VM and its availability zone are in service.
    bool in_service = false;
    // Requests of callers that run now.
    std::size_t running = 0;
    // The id of a query that comes without one.
    std::string new_request_id;
    settings::entry_limits limits;
    const control::configuration* configuration = nullptr;
};

} // namespace curranthoist::entry
