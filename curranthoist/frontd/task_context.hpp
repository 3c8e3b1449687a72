#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/forwarding/extra_send_budget.hpp"
#include "curranthoist/forwarding/target_directory.hpp"
#include "curranthoist/frontd/route_latency.hpp"
#include "curranthoist/frontd/target_pool.hpp"

#include <ev++.h>

#include <cstddef>
#include <map>
#include <string>

namespace curranthoist::frontd {

// What the tasks of one front process share.
struct task_context
{
    ev::loop_ref loop;
    forwarding::target_directory directory;
    forwarding::extra_send_budget budget;
    target_pool pool;
    base::random_source random;
    base::counter_registry metrics;
    base::logger log{"request"};
    // By the route's name.
    std::map<std::string, route_latency> latencies;
    // Front processes that share each target's connections; at least 1.
    std::size_t fronts = 1;

    // The client of a target, within this process's part of the connections that the
    // configuration allows.
    [[nodiscard]] http::target_client&
    client_of(const deployment::listed_target& target,
              const deployment::configuration& configuration)
    {
        const auto limits = configuration.services.find(target.service);
        const std::size_t connections =
            limits == configuration.services.end() ? 1 : limits->second.max_connections;
        return pool.client(target.id, target.address, connection_share(connections));
    }
    // Takes over what a target said of itself in an answer.
    void on_notice(const base::target_id& target, const forwarding::target_notice& notice,
                   base::instant now)
    {
        if (notice.empty()) {
            return;
        }
        metrics
            .counter_named("curranthoist_target_notices_total",
                           "Answers in which a target leaves or wants a pause",
                           notice.leaving ? "kind=\"leaving\"" : "kind=\"pause\"")
            .add();
        if (directory.on_notice(target, notice, now)) {
            log.info("event=target_withdrawn target=" + target.str() +
                     " leaving=" + (notice.leaving ? "true" : "false") +
                     " pause_ms=" + std::to_string(notice.pause.count()));
        }
    }
    // This process's part of the connections that a target accepts.
    [[nodiscard]] std::size_t connection_share(std::size_t max_connections) const
    {
        // The rest is for processes that have just joined and connections that are
        // closing.
        constexpr double used_part = 0.85;
        const double share = static_cast<double>(max_connections) * used_part /
                             static_cast<double>(fronts == 0 ? 1 : fronts);
        return share < 1 ? 1 : static_cast<std::size_t>(share);
    }
};

} // namespace curranthoist::frontd
