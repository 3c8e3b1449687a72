#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/control/intent.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::control {

class cluster_state;
class roster;

// What a service has before and after a plan.
struct service_capacity
{
    base::service_id service;
    // Slots of the targets that are in service and in a zone in service.
    std::uint64_t slots_before = 0;
    std::uint64_t slots_left = 0;
    // Shards of the newest snapshot that the roster knows; 0 if it knows none.
    std::uint64_t shards = 0;
    // Shards that have at least one such target which can serve.
    std::uint64_t covered_before = 0;
    std::uint64_t covered_left = 0;
    // Shards that have exactly one.
    std::uint64_t single_left = 0;
};

// What the system will do about an intent. The operator confirms its id and its base
// revision; it is void once an operator has changed the configuration.
struct plan
{
    std::string plan_id;
    // cluster_state::operator_revision() at the time of planning.
    base::revision base_revision;
    // What happens, in order.
    std::vector<std::string> steps;
    // Of each service that the intent affects.
    std::vector<service_capacity> capacity;
    std::vector<std::string> warnings;
    // Why the system will not do it; empty if it will.
    base::findings refused;
};

// Works out the plan for `wanted`. Pure: the same arguments give the same plan.
plan make_plan(const cluster_state& state, const roster& facts, const intent& wanted);

} // namespace curranthoist::control
