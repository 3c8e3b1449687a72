#pragma once

#include "curranthoist/deployment/route_table.hpp"
#include "curranthoist/forwarding/configuration_switch.hpp"
#include "curranthoist/forwarding/key_lease.hpp"
#include "curranthoist/forwarding/team_admission.hpp"
#include "curranthoist/frontd/task_context.hpp"

namespace curranthoist::frontd {

// What the parts of one front process share besides what its requests do.
struct front_state
{
    task_context context;
    forwarding::configuration_switch configuration;
    forwarding::key_lease key_lease;
    forwarding::team_admission team_admission;

    // The configuration with the highest version, also before it is in force; there must
    // be one in force.
    [[nodiscard]] const deployment::route_table& newest_table() const
    {
        return configuration.pending() ? *configuration.pending()
                                       : *configuration.current();
    }
    // Returns true if requests can be routed and targets are known.
    [[nodiscard]] bool knows_targets() const
    {
        return configuration.current() && context.directory.has_listing();
    }
};

} // namespace curranthoist::frontd
