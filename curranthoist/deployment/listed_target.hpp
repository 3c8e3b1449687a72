#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <string>

namespace curranthoist::deployment {

// One incarnation of a target, that is one run of its process, as the platform's list
// describes it.
struct listed_target
{
    // Identifies the incarnation: a target usually has a different id after a restart.
    base::target_id id;
    base::service_id service;
    base::zone_id zone;
    base::endpoint address;
    // True if the target is about to stop and must get no new requests.
    bool draining = false;
    // The remaining time of the target's warm-up when the list was read.
    base::duration remaining_cold_time;
    // Several versions of a service may run side by side; empty if the list names none.
    std::string version = {};

    // True if both describe the same incarnation in the same state; the remaining time of
    // the warm-up is ignored.
    [[nodiscard]] bool same_run(const listed_target& other) const
    {
        return id == other.id && service == other.service && address == other.address &&
               zone == other.zone && draining == other.draining &&
               version == other.version;
    }
};

} // namespace curranthoist::deployment
