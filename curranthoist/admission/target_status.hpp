#pragma once

#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::admission {

// Result of one poll of the target's status endpoint. The endpoint lags behind the target
// and can be wrong, so a poll can only withhold requests from the target. Only the result
// of a request makes the target available again.
struct target_status
{
    // False if the poll failed.
    bool reachable = true;
    bool draining = false;
    // Empty if the poll failed.
    base::boot_id boot;
};

} // namespace curranthoist::admission
