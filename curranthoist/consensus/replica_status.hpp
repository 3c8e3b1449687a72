#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/consensus/membership.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace curranthoist::consensus {

enum class replica_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader,
};

// A replacement of a member as its leader sees it. It is finished when the replacement is
// committed and the new member's match index has reached the commit index of that moment.
struct repair_status
{
    base::member_id replaced;
    base::member_id replacement;
    base::log_index required_match;
    bool finished = false;
};

// How far the leader knows one member's log to be synced, and when it last heard from it.
struct member_progress
{
    base::member_id id;
    base::log_index match_index;
    // Of the clock that drives the replica; instant::max() for the leader itself.
    base::instant last_heard = base::instant::max();
};

// A replica's state for operators.
struct replica_status
{
    base::member_id self;
    replica_role role = replica_role::follower;
    base::term term;
    // Empty if no leader is known.
    base::member_id leader;
    base::log_index commit_index;
    base::log_index last_index;
    base::log_index snapshot_index;
    membership members;
    // Index of the entry that holds `members`; in progress while above commit_index.
    base::log_index membership_index;
    // On the leader only.
    std::vector<member_progress> progress;
    // On the leader only: the last replacement, if any.
    std::optional<repair_status> repair;
};

} // namespace curranthoist::consensus
