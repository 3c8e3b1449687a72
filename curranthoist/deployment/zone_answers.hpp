#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::deployment {

// What one VM has seen of the targets of a zone since the VM started.
struct zone_answers
{
    base::zone_id zone;
    std::uint64_t successes = 0;
    // The time of all its requests to them together, those without success included. A
    // failure counts at least the usual time, since another request has to follow it.
    std::uint64_t time_ms = 0;

    bool operator==(const zone_answers&) const = default;
};

} // namespace curranthoist::deployment
