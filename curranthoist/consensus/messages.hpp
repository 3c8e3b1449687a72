#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/storage/log_entry.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace curranthoist::consensus {

// The messages between members; wire_codec converts them to and from wire messages.

// Asks for a vote in `term`, or with pre_vote whether one would be given. A request that
// names its receiver as the candidate is the leader's demand to start an election at
// once.
struct vote_request
{
    bool pre_vote = false;
    base::term term;
    base::member_id candidate;
    base::log_index last_index;
    base::term last_term;
};

// A refusal carries the voter's current term; a grant the term that was asked for.
struct vote_reply
{
    bool pre_vote = false;
    base::term term;
    base::member_id voter;
    bool granted = false;
};

// Sends entries that follow `previous_index`; without entries it is a heartbeat.
struct append_request
{
    base::term term;
    base::member_id leader;
    base::log_index previous_index;
    base::term previous_term;
    base::log_index commit_index;
    // Numbers the leader's quorum rounds within its term. Each heartbeat begins one.
    std::uint64_t round = 0;
    std::vector<storage::log_entry> entries;
};

// With success, the follower's log equals the leader's up to match_index. Otherwise
// match_index is the highest index at which the leader should try next.
struct append_reply
{
    base::term term;
    base::member_id follower;
    bool success = false;
    base::log_index match_index;
    std::uint64_t round = 0;
};

// A piece of the log snapshot at last_index that starts at `offset` of `total` bytes.
struct snapshot_chunk
{
    base::term term;
    base::member_id leader;
    base::log_index last_index;
    base::term last_term;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::vector<std::uint8_t> membership;
    std::vector<std::uint8_t> data;
    std::uint64_t round = 0;
};

// The follower holds the first next_offset bytes of the log snapshot at last_index; when
// they are all of it, its log is synced up to last_index.
struct snapshot_reply
{
    base::term term;
    base::member_id follower;
    base::log_index last_index;
    std::uint64_t next_offset = 0;
    std::uint64_t round = 0;
};

using message_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                                  snapshot_chunk, snapshot_reply>;

// A message and its receiver.
struct outgoing_message
{
    base::member_id to;
    message_body body;
};

} // namespace curranthoist::consensus
