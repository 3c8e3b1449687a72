#pragma once

#include <string>

namespace curranthoist::cored {

// What the leader knows of a team with a limit, for operators.
struct team_standing
{
    std::string team;
    // Requests a second, and how many more at once.
    double rate = 0.0;
    double burst = 0.0;
    // Requests that the team may send at once now; below 0 if it has had too many.
    double credit = 0.0;
    // Requests a second that it sends.
    double demand = 0.0;
    // The part of them that fits.
    double admitted_part = 1.0;
};

} // namespace curranthoist::cored
