#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::consensus {

// A voter counts in quorums and votes. A learner receives the log only. A leaving member
// is an old voter that is being replaced; it counts in the outgoing quorum.
enum class member_role : std::uint8_t
{
    voter,
    learner,
    leaving,
};

// One member of the replicated log.
struct member
{
    base::member_id id;
    base::endpoint address;
    member_role role = member_role::voter;

    bool operator==(const member&) const = default;
};

} // namespace curranthoist::consensus
