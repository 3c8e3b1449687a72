#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/platform/node_settings.hpp"

#include <ev++.h>

#include <functional>
#include <memory>
#include <optional>

namespace curranthoist::cored {

class founder_choice;

// The time of a process with an empty disk, at the first start of a deployment, until it
// knows who founds the log. It serves the operators' address meanwhile, with 503 for all
// but the question who founds.
class founding_phase
{
public:
    // Receives the founder's address for other members, once, from a timer.
    using founder_handler = std::function<void(base::endpoint)>;

    // The settings name at least one seed. Both references must outlive it.
    founding_phase(ev::loop_ref loop, const platform::node_settings& settings,
                   founder_choice& choice, founder_handler on_founder);
    founding_phase(const founding_phase&) = delete;
    founding_phase& operator=(const founding_phase&) = delete;

private:
    void on_timer(ev::timer& watcher, int events);

    const platform::node_settings& settings_;
    founder_choice& choice_;
    founder_handler on_founder_;
    base::monotonic_clock clock_;
    http::target_client first_seed_;
    http::caller_server server_;
    std::optional<base::endpoint> founder_;
    ev::timer timer_;
};

} // namespace curranthoist::cored
