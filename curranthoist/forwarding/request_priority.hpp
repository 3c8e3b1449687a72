#pragma once

#include <compare>

namespace curranthoist::forwarding {

// The order in which requests get what there is too little of: the priority of the team,
// then that of the route. 0 is the most urgent.
struct request_priority
{
    // 0 without teams.
    unsigned team = 0;
    unsigned route = 0;

    auto operator<=>(const request_priority&) const = default;
};

} // namespace curranthoist::forwarding
