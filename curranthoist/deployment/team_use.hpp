#pragma once

#include "curranthoist/base/duration.hpp"

#include <cstdint>
#include <string>

namespace curranthoist::deployment {

// The requests of a team on one VM since that VM's last report.
struct team_use
{
    std::string team;
    std::uint32_t arrived = 0;
    // Those of them that were admitted within the team's limit.
    std::uint32_t admitted = 0;
};

// What all VMs may admit of a team's requests.
struct team_share
{
    std::string team;
    // The part of its requests, 0 to 1.
    double admitted_part = 1.0;
    // Until its account has room for a request again.
    base::duration wait;
};

} // namespace curranthoist::deployment
