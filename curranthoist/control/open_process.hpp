#pragma once

#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::control {

// The one process of a VM that may hold a lease.
struct open_process
{
    base::incarnation run;
    // The log index of the command that opened it.
    base::log_index opened_at;

    bool operator==(const open_process&) const = default;
};

} // namespace curranthoist::control
