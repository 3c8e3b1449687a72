#pragma once

#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::admission {

// What a poll of the target's status endpoint said. The endpoint lags and misleads, so it
// only ever takes work away.
struct target_status
{
    // False if the poll failed.
    bool reachable = true;
    bool draining = false;
    // Empty if the poll failed.
    base::boot_id boot;
};

} // namespace curranthoist::admission
