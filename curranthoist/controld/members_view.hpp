#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::controld {

// One member of the replicated log as this process sees it.
struct member_view
{
    std::string name;
    // Where its peers and entry VMs connect.
    std::string peer_address;
    // "voter", "learner" or "leaving".
    std::string role;
    // The last log index that the leader knows to be synced there; 0 if it is not known.
    std::uint64_t match_index = 0;
};

// The replicated log's members and leader, for operators.
struct members_view
{
    std::string self;
    // Empty if no leader is known.
    std::string leader;
    // Where the leader accepts operators' HTTP; empty if that is not known.
    std::string leader_operators_address;
    std::uint64_t commit_index = 0;
    std::vector<member_view> members;
    // Where the wanted replacement of a member stands; empty if there is none.
    std::string repair;
};

} // namespace curranthoist::controld
