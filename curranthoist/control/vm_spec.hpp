#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::control {

// What operators declare about one entry VM.
struct vm_spec
{
    base::zone_id zone;
    // Where other entry VMs connect to.
    base::endpoint peer_address;
    bool in_service = true;

    bool operator==(const vm_spec&) const = default;
};

} // namespace curranthoist::control
