#pragma once

#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::routing {

// A usable target and the owner VM through which the target is reached.
struct replica
{
    base::target_id target;
    base::vm_id owner;
    base::fence fence;
    bool cold = false;

    bool operator==(const replica&) const = default;
};

} // namespace curranthoist::routing
