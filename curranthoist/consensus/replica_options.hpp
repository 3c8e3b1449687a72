#pragma once

#include "curranthoist/base/duration.hpp"

#include <cstddef>
#include <cstdint>

namespace curranthoist::consensus {

// Times and limits of a replica. The defaults suit members a few milliseconds apart.
struct replica_options
{
    // An election starts after a random time in this range without a leader.
    base::duration min_election_timeout{500};
    base::duration max_election_timeout{1000};
    // A member that has just started has heard nobody and may ask for votes sooner, after
    // a random time between half of this one and all of it: voters that hear a leader
    // refuse it. 0 gives the first election the same time as all others.
    base::duration first_election_timeout{};
    base::duration heartbeat_interval{100};
    // The entries' bytes in one append request; one entry may exceed it.
    std::size_t max_append_bytes = std::size_t{256} * 1024;
    std::size_t max_append_entries = 1024;
    std::size_t max_chunk_bytes = std::size_t{256} * 1024;
    // Append requests with entries that one follower has not yet acknowledged.
    std::size_t max_in_flight = 16;
    // A longer command is refused; it must fit into one frame of the wire protocol.
    std::size_t max_command_bytes = std::size_t{8} * 1024 * 1024;
    // Uncommitted bytes above which the leader takes no more proposals.
    std::size_t max_uncommitted_bytes = std::size_t{64} * 1024 * 1024;
    // Entries kept in memory behind a log snapshot, so that a follower which is slightly
    // behind needs no log snapshot.
    std::uint64_t retained_entries = 1000;
    // A learner this many entries behind the commit index, or fewer, may be promoted.
    std::uint64_t max_promotion_lag = 100;
    // The longest log snapshot that a follower accepts.
    std::uint64_t max_snapshot_bytes = std::uint64_t{1024} * 1024 * 1024;
};

} // namespace curranthoist::consensus
