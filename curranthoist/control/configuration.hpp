#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/control/assignment.hpp"
#include "curranthoist/control/service_spec.hpp"
#include "curranthoist/control/target_spec.hpp"
#include "curranthoist/control/vm_spec.hpp"
#include "curranthoist/control/zone_spec.hpp"

#include <map>

namespace curranthoist::control {

// Everything that is in force in every process at one revision. It is a plain value;
// cluster_state changes it by committed commands, and entry VMs replace theirs whole.
struct configuration
{
    base::revision number;
    std::map<base::zone_id, zone_spec> zones;
    std::map<base::service_id, service_spec> services;
    std::map<base::target_id, target_spec> targets;
    std::map<base::vm_id, vm_spec> vms;
    std::map<base::target_id, assignment> assignments;

    bool operator==(const configuration&) const = default;
};

} // namespace curranthoist::control
