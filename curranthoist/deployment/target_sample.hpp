#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::deployment {

// The results of one VM's requests to one target since the VM's last report.
struct target_sample
{
    base::target_id id;
    // The number of requests that got a response or were abandoned.
    std::uint32_t answers = 0;
    // The number of these requests that failed or were far slower than usual.
    std::uint32_t bad = 0;
};

} // namespace curranthoist::deployment
