#pragma once

#include "curranthoist/base/instant.hpp"

namespace curranthoist::control {

// The two clocks at one event: monotonic for leases, wall for commands.
struct event_time
{
    base::instant monotonic;
    base::instant wall;
};

} // namespace curranthoist::control
