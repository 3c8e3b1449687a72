#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/coreclient/core_links.hpp"
#include "curranthoist/frontd/caller_task.hpp"
#include "curranthoist/frontd/core_updates.hpp"
#include "curranthoist/frontd/front_state.hpp"
#include "curranthoist/frontd/gather_links.hpp"
#include "curranthoist/frontd/gather_server.hpp"
#include "curranthoist/frontd/request_admission.hpp"
#include "curranthoist/frontd/target_upkeep.hpp"
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
    // Takes over what the configuration in force allows callers to send.
    void set_caller_limits(const deployment::configuration& now);
    void on_request(http::caller_request request, http::responder answer);
    void on_readiness(const http::caller_request& request, const http::responder& answer);
    [[nodiscard]] bool is_ready() const;
    void on_tick(ev::timer& watcher, int events);
    void step_stop(base::instant now);
    // Answers every open request now; the process is about to end.
    void expire_requests();

    ev::loop_ref loop_;
    platform::node_settings settings_;
    base::logger log_{"front"};
    base::monotonic_clock clock_;
    front_state state_;
    std::map<std::uint64_t, std::shared_ptr<caller_task>> tasks_;
    std::uint64_t last_task_ = 0;
    // Ended tasks, dropped outside of their handlers.
    std::vector<std::shared_ptr<caller_task>> ended_;
    gather_links gather_links_;
    gather_server gather_server_;
    target_upkeep upkeep_;
    core_updates updates_;
    request_admission admission_;
    std::unique_ptr<coreclient::core_links> links_;
    std::unique_ptr<http::caller_server> callers_;
    std::unique_ptr<http::caller_server> readiness_;
    ev::timer tick_;
    base::instant stop_begun_ = base::instant::max();
    bool announced_ready_ = false;
};

} // namespace curranthoist::frontd
