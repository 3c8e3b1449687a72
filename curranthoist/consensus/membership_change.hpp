#pragma once

#include "curranthoist/consensus/member.hpp"

#include <cstdint>

namespace curranthoist::consensus {

// One change to the members of the log, proposed with replica::propose_change().
struct membership_change
{
    enum class change_kind : std::uint8_t
    {
        // Adds `id` at `address` as a learner.
        add_learner,
        // Makes the learner `id` a voter. If `replaced` is not empty, that voter leaves
        // in the same change. The new voter votes once the change is in its own log:
        // until its match index has reached the change, the quorum of an enlarged
        // membership may not survive the loss of another voter.
        promote,
        // Removes the voter or learner `id`.
        remove,
    };

    change_kind kind = change_kind::add_learner;
    base::member_id id;
    base::endpoint address;
    base::member_id replaced;
};

} // namespace curranthoist::consensus
