#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/coreclient/core_links.hpp"
#include "curranthoist/forwarding/configuration_switch.hpp"
#include "curranthoist/forwarding/key_lease.hpp"
#include "curranthoist/forwarding/team_admission.hpp"
#include "curranthoist/frontd/caller_task.hpp"
#include "curranthoist/frontd/gather_links.hpp"
#include "curranthoist/frontd/gather_server.hpp"
#include "curranthoist/frontd/task_context.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/platform/node_settings.hpp"

#include <ev++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace curranthoist::frontd {

// One front process: takes callers' requests, sends them to targets of its own choice and
// answers. It keeps no state of its own; configuration and list come from the core.
class front_process
{
public:
    // Throws base::findings_error if settings that it needs are missing, and
    // std::system_error if an address can't be bound.
    front_process(ev::loop_ref loop, platform::node_settings settings);
    front_process(const front_process&) = delete;
    front_process& operator=(const front_process&) = delete;

    // Begins a graceful stop: the load balancer is told first, then no connection is
    // taken, and the loop ends once every request has its answer.
    void stop();
    // Takes over settings that may change while it runs: the seeds.
    void reload(const platform::node_settings& settings);
    // Every metric in the Prometheus text format.
    [[nodiscard]] std::string metrics_text();

private:
    [[nodiscard]] coreclient::core_links::handlers link_handlers();
    void on_state(const coreclient::received_state& state);
    // Lets a pending configuration take effect if it may.
    void switch_configuration();
    // Answers a request that this process can't take now; it has not run. `team_cause`
    // says why its team gets no place.
    void refuse(const platform::inbound_request& request, const http::responder& answer,
                const char* reason, base::duration retry_after,
                const char* team_cause = nullptr);
    void on_listing(const deployment::listing_change& change);
    // Takes back what waits for a connection to a target that must get no more requests;
    // each request is sent to another target, or refused if there is none.
    void withdraw_unsent(base::instant now);
    void on_request(http::caller_request request, http::responder answer);
    // Determines the team of a request by its key. Answers the request and returns false
    // if it may not run: its key is unknown, can't be known now, or its team is beyond
    // its limit.
    bool admit_team(platform::inbound_request& request, const deployment::route& route,
                    const http::responder& answer);
    // Decides whether the request's team gets a place now. Refuses the request and
    // returns false if not.
    bool share_room(const platform::inbound_request& request,
                    const deployment::route& route, const http::responder& answer);
    // The configuration with the highest version, also before it is in force: withdrawn
    // keys end with it, and new ones begin.
    [[nodiscard]] const deployment::route_table& newest_table() const;
    void count_team(const std::string& team, const char* outcome);
    void on_readiness(const http::caller_request& request, const http::responder& answer);
    // Brings the gauges up to date before they are read.
    void set_gauges();
    [[nodiscard]] bool is_ready() const;
    void on_tick(ev::timer& watcher, int events);
    void probe_targets(base::instant now);
    // Keeps a free connection to one target of each service in use.
    void preconnect(base::instant now);
    // The services to which this process keeps connections: while others gather for it,
    // none that is a shard.
    [[nodiscard]] const std::vector<base::service_id>&
    services_to_connect(const deployment::route_table& table, base::instant now);
    void on_gatherers(std::vector<deployment::gatherer> gatherers);
    void step_stop(base::instant now);
    // Answers every open request now; the process is about to end.
    void expire_requests();

    ev::loop_ref loop_;
    platform::node_settings settings_;
    base::logger log_{"front"};
    base::monotonic_clock clock_;
    task_context context_;
    forwarding::configuration_switch configuration_;
    forwarding::key_lease key_lease_;
    forwarding::team_admission team_admission_;
    std::map<std::uint64_t, std::shared_ptr<caller_task>> tasks_;
    std::uint64_t last_task_ = 0;
    // Ended tasks, dropped outside of their handlers.
    std::vector<std::shared_ptr<caller_task>> ended_;
    gather_links gather_links_;
    gather_server gather_server_;
    std::vector<base::service_id> connected_services_;
    base::instant connected_services_at_;
    std::unique_ptr<coreclient::core_links> links_;
    std::unique_ptr<http::caller_server> callers_;
    std::unique_ptr<http::caller_server> readiness_;
    ev::timer tick_;
    base::instant started_;
    base::instant connected_ahead_;
    base::instant stop_begun_ = base::instant::max();
    bool announced_ready_ = false;
    // Targets that do badly for the VMs together.
    std::size_t suspects_ = 0;
};

} // namespace curranthoist::frontd
