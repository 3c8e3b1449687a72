#pragma once

#include "curranthoist/consensus/membership.hpp"

#include <deque>

namespace curranthoist::consensus {

// The memberships in a replica's log. The latest one is in force as soon as it is in the
// log, committed or not; a truncated log brings an earlier one back.
class membership_history
{
public:
    [[nodiscard]] const membership& latest() const { return changes_.back().value; }
    // Index of the entry that holds the latest membership.
    [[nodiscard]] base::log_index latest_index() const { return changes_.back().index; }
    // The membership in force at `index`.
    [[nodiscard]] const membership& at(base::log_index index) const;

    void append(base::log_index index, membership value);
    // Forgets memberships at `from` and after.
    void truncate_from(base::log_index from);
    // Forgets memberships that are not in force at `index` or after.
    void drop_before(base::log_index index);
    void reset(base::log_index index, membership value);

private:
    struct change
    {
        base::log_index index;
        membership value;
    };
    // Never empty; a replica without state starts with an empty membership at index 0.
    std::deque<change> changes_{{}};
};

} // namespace curranthoist::consensus
