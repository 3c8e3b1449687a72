#include "curranthoist/frontd/process_gauges.hpp"

#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/coreclient/core_links.hpp"
#include "curranthoist/frontd/front_state.hpp"
#include "curranthoist/http/caller_server.hpp"

#include <cstdint>

namespace curranthoist::frontd {

void set_gauges(front_state& state, const http::caller_server& callers,
                const coreclient::core_links& links, std::size_t open_requests)
{
    task_context& context = state.context;
    base::counter_registry& metrics = context.metrics;
    const auto& table = state.configuration.current();
    metrics.gauge_named("curranthoist_configuration_version", "Version in force")
        .set(table ? static_cast<std::int64_t>(table->source().version) : 0);
    metrics.gauge_named("curranthoist_list_age_ms", "Since the last reading of the list")
        .set(context.directory.has_listing()
                 ? (base::monotonic_clock().now() - context.directory.read_at()).count()
                 : -1);
    metrics.gauge_named("curranthoist_targets_listed", "Targets that the list names")
        .set(static_cast<std::int64_t>(context.directory.size()));
    metrics.gauge_named("curranthoist_target_connections", "Open connections to targets")
        .set(static_cast<std::int64_t>(context.pool.open_sockets()));
    metrics
        .gauge_named("curranthoist_response_memory_bytes",
                     "Counted bytes of targets' responses")
        .set(static_cast<std::int64_t>(context.pool.memory().used()));
    metrics
        .gauge_named("curranthoist_responses_refused_for_memory",
                     "Targets' responses that were cut off for want of memory")
        .set(static_cast<std::int64_t>(context.pool.memory().refusals()));
    metrics
        .gauge_named("curranthoist_request_memory_bytes",
                     "Counted bytes of callers' requests")
        .set(static_cast<std::int64_t>(callers.request_memory().used()));
    metrics
        .gauge_named("curranthoist_caller_connections_evicted",
                     "Callers' connections that were closed to make room for others")
        .set(static_cast<std::int64_t>(callers.evicted_connections()));
    metrics.gauge_named("curranthoist_open_sends", "Sends that open requests may need")
        .set(static_cast<std::int64_t>(context.open_requests.sends()));
    state.context.traffic.publish(metrics);
    metrics.gauge_named("curranthoist_core_members", "Core members that answer")
        .set(static_cast<std::int64_t>(links.live_members()));
    metrics.gauge_named("curranthoist_open_requests", "Requests without an answer yet")
        .set(static_cast<std::int64_t>(open_requests));
}

} // namespace curranthoist::frontd
