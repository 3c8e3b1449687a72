#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/zone_traffic.hpp"
#include "curranthoist/consensus/replica_options.hpp"
#include "curranthoist/wire/peer_account.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace curranthoist::consensus {

// Settings of one replica_host.
struct host_options
{
    // Where other members and entry VMs connect.
    base::endpoint listen;
    // Where other members reach this one, told to those that it dials; empty to tell
    // nothing.
    base::endpoint address;
    // Receives where a member that dialed this process is reached; may be empty. A
    // process that lost its disk learns of its peers in this way.
    std::function<void(const base::endpoint&)> on_dialed_by;
    // Limits of the connections from them.
    wire::peer_account::limits accepted;
    base::zone_id zone;
    base::incarnation incarnation;
    // Counts what this member sends to others; null for nobody. Must outlive the host.
    base::zone_traffic* traffic = nullptr;
    // Randomises election timeouts; must differ between members.
    std::uint64_t seed = 0;
    // A log snapshot is taken after this many applied entries.
    std::uint64_t entries_per_snapshot = 10'000;
    replica_options replica;
    // Called with the reason when the disk fails or holds a state that can't be used. The
    // process must end; the host does nothing more. By default it ends at once.
    std::function<void(const std::string&)> on_fatal;
};

} // namespace curranthoist::consensus
