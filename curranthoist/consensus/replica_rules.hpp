#pragma once

namespace curranthoist::consensus {

// The rules on which the log's safety rests, as compile-time switches. Programs use this
// set only. Tests break one rule at a time to show that their checks detect it.
struct replica_rules
{
    // A vote, an acknowledgement and the leader's own match wait for the sync.
    static constexpr bool sync_before_acknowledge = true;
    // Only an entry of the current term is committed by counting replicas; entries of
    // earlier terms are committed with it.
    static constexpr bool commit_own_term_only = true;
    // A read waits for a quorum round that began after it.
    static constexpr bool read_needs_round = true;
};

} // namespace curranthoist::consensus
