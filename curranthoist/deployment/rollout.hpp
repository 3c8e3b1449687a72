#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/rollout_phase.hpp"

#include <set>
#include <string>

namespace curranthoist::deployment {

// An operator's order to move the requests of a service to targets of another version.
struct rollout
{
    base::service_id service;
    std::string target_version;
    // The version of the service's targets when the order arrived.
    std::string base_version;
    // From the order to its deadline.
    base::duration duration;
    // By the wall clock of the leader that took the order.
    base::instant ordered_at;
    rollout_phase phase = rollout_phase::running;
    // Versions that get no requests: those that were rolled back and those that completed
    // roll-outs replaced. Earlier roll-outs of the service count, because their targets
    // may still be listed.
    std::set<std::string> excluded_versions = {};

    [[nodiscard]] bool same_order(const rollout& other) const
    {
        return service == other.service && target_version == other.target_version &&
               ordered_at == other.ordered_at;
    }
};

} // namespace curranthoist::deployment
