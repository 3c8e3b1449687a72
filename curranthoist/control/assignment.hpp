#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::control {

enum class assignment_phase : std::uint8_t
{
    // The owner may send to the target.
    owned,
    // The owner must finish, close its connections and report the target as released.
    releasing
};

// Which VM holds a target's admission. A later ownership has a higher fence.
struct assignment
{
    base::vm_id owner;
    base::fence number;
    assignment_phase phase = assignment_phase::owned;
    // What the former owner had proved when it released the target. Not warm and a pace
    // of 0 mean that nothing is known.
    bool warm = false;
    // Requests per 1,000 s.
    std::uint64_t pace_milli_per_s = 0;

    bool operator==(const assignment&) const = default;
};

} // namespace curranthoist::control
