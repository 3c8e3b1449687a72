#pragma once

#include <string>

namespace curranthoist::control {

// A replacement of a member of the replicated log that an operator wants and that the
// log's host has not finished yet.
struct member_replacement
{
    std::string old_member;
    std::string new_member;
    // Where the new member's peer connections are accepted.
    std::string address;

    bool operator==(const member_replacement&) const = default;
};

} // namespace curranthoist::control
