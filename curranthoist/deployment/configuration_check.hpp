#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/deployment/configuration_bounds.hpp"
#include "curranthoist/deployment/configuration_remark.hpp"

#include <vector>

namespace curranthoist::deployment {

struct configuration;

// Finds entries of a valid configuration that never match or serve nothing, and limits
// that contradict each other or what one VM carries. Remarks come in the order of routes,
// services, teams and limits. No remark contains a key.
std::vector<configuration_remark>
check_configuration(const configuration& checked,
                    const configuration_bounds& bounds = configuration_bounds());

// Limits that can't be kept with the memory of any VM. A configuration that has some is
// invalid; one that was stored before is carried up to the bounds.
[[nodiscard]] base::findings
limits_beyond_any_vm(const configuration& checked,
                     const configuration_bounds& bounds = configuration_bounds());

} // namespace curranthoist::deployment
