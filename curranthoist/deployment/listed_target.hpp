#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::deployment {

// One run of a target's process, as the platform's list names it.
struct listed_target
{
    // Names the run: a restarted target mostly has another id.
    base::target_id id;
    base::service_id service;
    base::zone_id zone;
    base::endpoint address;
    // It is about to stop and must get no new requests.
    bool draining = false;
    // What was left of its warm-up when the list was read.
    base::duration cold_for;

    // True if both name the same run in the same state, apart from how long it is cold.
    [[nodiscard]] bool same_run(const listed_target& other) const
    {
        return id == other.id && service == other.service && address == other.address &&
               zone == other.zone && draining == other.draining;
    }
};

} // namespace curranthoist::deployment
