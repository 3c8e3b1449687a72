#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/control/generated/commands_generated.h"

#include <cstdint>
#include <vector>

namespace curranthoist::control {

using claim_status = encoded::claim_status;

// The attempt that a claim was granted to, and how it ended.
struct claim_record
{
    base::vm_id vm;
    base::incarnation run;
    std::uint64_t attempt = 0;
    claim_status status = claim_status::pending;
    // The target's response, if the attempt ran and the response was short enough.
    std::vector<std::uint8_t> body;
    // The response's length, also when it was not kept.
    std::uint64_t body_bytes = 0;

    bool operator==(const claim_record&) const = default;
};

} // namespace curranthoist::control
