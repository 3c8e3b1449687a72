#pragma once

#include "curranthoist/control/configuration.hpp"

#include <vector>

namespace curranthoist::control {

// What has to change to get from the configuration at revision `base` to the one at
// revision `changed.number`. The leader sends it to VMs that have `base`; the whole
// configuration of a large deployment is too long to be sent for each change.
//
//     configuration_delta delta = diff(before, after);
//     apply(before, delta); // before == after
struct configuration_delta
{
    base::revision base;
    // New entries and entries with another value, with the revision after the change.
    configuration changed;
    std::vector<base::zone_id> removed_zones;
    std::vector<base::service_id> removed_services;
    std::vector<base::target_id> removed_targets;
    std::vector<base::vm_id> removed_vms;
    std::vector<base::target_id> removed_assignments;

    bool operator==(const configuration_delta&) const = default;
};

// The delta that turns `before` into `after`.
configuration_delta diff(const configuration& before, const configuration& after);

// Brings `value` to the revision of `delta`. Returns false and changes nothing if `value`
// is not at the revision that the delta is based on, or the delta's own is not higher.
bool apply(configuration& value, const configuration_delta& delta);

} // namespace curranthoist::control
