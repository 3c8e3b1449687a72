#pragma once

#include "curranthoist/base/duration.hpp"

namespace curranthoist::forwarding {

// What a target says of itself beside its response.
struct target_notice
{
    // True if the target is about to stop and wants no new requests.
    bool leaving = false;
    // How long the target wants no requests from this VM; 0 if it takes them.
    base::duration pause = {};

    // True if the target does not ask for anything.
    [[nodiscard]] bool empty() const { return !leaving && pause <= base::duration(); }
};

} // namespace curranthoist::forwarding
