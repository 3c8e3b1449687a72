#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/consensus/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace curranthoist::cored {

// Remembers where members were that the replicated log has removed. A removed member that
// comes back with an empty disk knows its seeds only, and the members no longer dial it;
// the leader tells it where they are.
//
// It knows what this process has seen since its start.
class former_members
{
public:
    // The oldest addresses are forgotten beyond this number.
    static constexpr std::size_t max_addresses = 16;

    // Takes over the members of the log as they are now.
    void update(std::span<const consensus::member> members);
    // Addresses for other members at which no member is now, the oldest first.
    [[nodiscard]] std::span<const base::endpoint> addresses() const { return former_; }

private:
    std::vector<base::endpoint> current_;
    std::vector<base::endpoint> former_;
};

} // namespace curranthoist::cored
