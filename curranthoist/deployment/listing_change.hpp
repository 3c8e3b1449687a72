#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/listed_target.hpp"

#include <span>
#include <vector>

namespace curranthoist::deployment {

// The difference between two successive readings of the platform's list, or a complete
// list.
struct listing_change
{
    // True if `targets` contains all targets, false if it contains only the new and
    // changed ones.
    bool complete = true;
    std::vector<listed_target> targets;
    // Targets that are no longer listed; empty if `complete` is true.
    std::vector<base::target_id> removed = {};
    // The time at which the reading began.
    base::instant read_at = {};
    // The newest state that the reader knew.
    base::log_index state_index = {};
};

// Returns the changes from one list to the next. Both lists must be sorted by target id;
// `elapsed` is the time between their readings. A target whose warm-up still ends at the
// time reported before is unchanged; a target whose warm-up ends later, because it is
// cold again, is changed. In `after`, the warm-up of an unchanged target is set to end at
// the time reported before, so that small differences do not accumulate.
listing_change diff_listings(std::span<const listed_target> before,
                             std::span<listed_target> after, base::duration elapsed);

} // namespace curranthoist::deployment
