#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"

#include <vector>

namespace curranthoist::deployment {
class route_table;
}

namespace curranthoist::frontd {

struct front_state;

// Keeps the connections to targets as the directory wants them: probes, connections that
// are made ahead, and what waits for a target that must get no more requests.
class target_upkeep
{
public:
    // The state must outlive it.
    target_upkeep(front_state& state, base::zone_id own_zone);

    // Takes back what waits for a connection to a target that must get no more requests;
    // each request is sent to another target, or refused if there is none.
    void withdraw_unsent(base::instant now);
    void probe_targets(base::instant now);
    // Keeps a free connection to one target of each service in use.
    void preconnect(base::instant now);
    // Determines anew which services need connections, because the gatherers changed.
    void forget_services() { connected_services_.clear(); }

private:
    // The services to which this process keeps connections: while others gather for it,
    // none that is a shard.
    [[nodiscard]] const std::vector<base::service_id>&
    services_to_connect(const deployment::route_table& table, base::instant now);

    front_state& state_;
    base::zone_id own_zone_;
    base::logger log_{"front"};
    base::monotonic_clock clock_;
    std::vector<base::service_id> connected_services_;
    base::instant connected_services_at_;
    base::instant connected_ahead_;
};

} // namespace curranthoist::frontd
