#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/consensus/peer_links.hpp"
#include "curranthoist/coreclient/core_links.hpp"
#include "curranthoist/cored/front_sessions.hpp"
#include "curranthoist/deployment/deployment_state.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/platform/node_settings.hpp"

#include <ev++.h>

namespace curranthoist::cored {

class founder_choice;

// A core process on a VM without a disk. It holds nothing and has no vote: it sends
// operators to the leader and tells fronts who the members are, since both may know no
// other address than this one.
class observer_process
{
public:
    // Both references must outlive it.
    observer_process(ev::loop_ref loop, const platform::node_settings& settings,
                     founder_choice& choice);
    observer_process(const observer_process&) = delete;
    observer_process& operator=(const observer_process&) = delete;

    void reload(const platform::node_settings& settings);

private:
    void on_request(const http::caller_request& request, const http::responder& answer);
    void on_tick(ev::timer& watcher, int events);

    const platform::node_settings& settings_;
    founder_choice& choice_;
    base::logger log_{"observer"};
    base::monotonic_clock clock_;
    // Never changes: an observer passes no state on.
    deployment::deployment_state nothing_;
    coreclient::core_links links_;
    front_sessions sessions_;
    consensus::peer_links peers_;
    http::caller_server server_;
    ev::timer tick_;
};

} // namespace curranthoist::cored
