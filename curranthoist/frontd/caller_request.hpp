#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/deployment/route_table.hpp"
#include "curranthoist/forwarding/request_attempts.hpp"
#include "curranthoist/frontd/request_sends.hpp"
#include "curranthoist/platform/caller_exchange.hpp"

#include <memory>
#include <optional>

namespace curranthoist::frontd {

class route_latency;
struct task_context;

// One caller's request with what was decided and sent for it: what the parts of a
// caller_task share.
struct caller_request
{
    task_context& context;
    // Keeps the route alive.
    std::shared_ptr<const deployment::route_table> table;
    const deployment::route& route;
    platform::inbound_request inbound;
    route_latency& latency;
    base::monotonic_clock clock;
    base::instant arrived;
    // The caller gets its answer at this time at the latest.
    base::instant hard_limit;
    // Nothing before the start.
    std::optional<forwarding::request_attempts> run = std::nullopt;
    request_sends sends = {};
};

} // namespace curranthoist::frontd
