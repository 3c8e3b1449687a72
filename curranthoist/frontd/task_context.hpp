#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/base/zone_traffic.hpp"
#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/forwarding/extra_send_budget.hpp"
#include "curranthoist/forwarding/open_request_limit.hpp"
#include "curranthoist/forwarding/return_schedule.hpp"
#include "curranthoist/forwarding/send_margin.hpp"
#include "curranthoist/forwarding/target_directory.hpp"
#include "curranthoist/forwarding/team_shares.hpp"
#include "curranthoist/forwarding/zone_answer_counts.hpp"
#include "curranthoist/forwarding/zone_choice.hpp"
#include "curranthoist/frontd/route_latency.hpp"
#include "curranthoist/frontd/target_pool.hpp"
#include "curranthoist/platform/caller_exchange.hpp"

#include <ev++.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace curranthoist::frontd {

class gather_links;

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
    // Whether this process gathers parts for others, and how many do in its zone.
    bool gathers = false;
    std::size_t gatherers_in_zone = 0;
    // The gatherers that this process sends to; null before they are set up.
    gather_links* gather = nullptr;
    std::string own_name = {};
    // The configuration in force; null before the first.
    std::shared_ptr<const deployment::configuration> configuration = nullptr;
    // How the parts ended that this process gathered.
    forwarding::zone_answer_counts zone_answers = {};
    // Which queries of callers leave the zone.
    forwarding::zone_choice zones{random.unit()};
    // What this process exchanges with targets and gatherers.
    base::zone_traffic traffic{directory.own_zone()};
    // When callers come back whose requests have not run.
    forwarding::return_schedule returns = {};
    // How long before the objective answers to queries leave.
    forwarding::send_margin margin = {};
    // The requests of callers and of other fronts that are open at once.
    forwarding::open_request_limit open_requests{{}};
    // Which teams' requests get that room when it runs short.
    forwarding::team_shares shares = {};

    // The client of a target, within this process's part of the connections that the
    // configuration allows.
    [[nodiscard]] http::target_client& client_of(const deployment::listed_target& target,
                                                 const deployment::configuration& source)
    {
        const auto limits = source.services.find(target.service);
        const std::size_t connections =
            limits == source.services.end() ? 1 : limits->second.max_connections;
        return pool.client(target.id, target.address, connection_share(connections),
                           &traffic.with(base::traffic_cause::targets, target.zone));
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
    // Records how a call to a target ended, and what the target said of itself.
    void record_answer(const base::target_id& target,
                       const platform::target_response& response, base::duration took,
                       base::duration usual, base::instant now)
    {
        directory.on_answer(target, response.kind, took, usual, now);
        on_notice(target, response.notice, now);
        metrics
            .counter_named("curranthoist_target_answers_total",
                           "Targets' answers by kind",
                           std::string("kind=\"") +
                               forwarding::response_kind_name(response.kind) + "\"")
            .add();
        if (response.kind == forwarding::response_kind::success) {
            metrics
                .histogram_named("curranthoist_target_ms",
                                 "From a send to the target's response, successes only")
                .add(took);
        }
    }
    // This process's part of the connections that a target accepts.
    [[nodiscard]] std::size_t connection_share(std::size_t max_connections) const
    {
        // The rest is for processes that have just joined and connections that are
        // closing.
        constexpr double used_part = 0.85;
        // Gatherers send most parts; the others send only late and lost ones. Half of the
        // gatherers' part is for those of other zones, whose own targets are slow or
        // gone.
        constexpr double gatherers_part = 0.6;
        constexpr double own_zone_part = 0.5;
        const double usable = static_cast<double>(max_connections) * used_part;
        double share = usable / static_cast<double>(fronts == 0 ? 1 : fronts);
        if (gatherers_in_zone > 0) {
            share = gathers ? usable * gatherers_part * own_zone_part /
                                  static_cast<double>(gatherers_in_zone)
                            : share * (1 - gatherers_part);
        }
        return share < 1 ? 1 : static_cast<std::size_t>(share);
    }
};

} // namespace curranthoist::frontd
