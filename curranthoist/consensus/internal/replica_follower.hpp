#pragma once

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/consensus/replica.hpp"

#include <algorithm>
#include <utility>

// What basic_replica does with the messages of a leader.

namespace curranthoist::consensus {

namespace internal {

inline bool is_membership(std::span<const std::uint8_t> bytes)
{
    try {
        static_cast<void>(membership::decode(bytes));
        return true;
    }
    catch (const base::findings_error&) {
        return false;
    }
}

// False for a request that no leader sends: gaps, terms that fall or exceed the leader's,
// or a membership that can't be read.
inline bool is_well_formed(const append_request& request)
{
    base::log_index index = request.previous_index;
    base::term term = request.previous_term;
    for (const storage::log_entry& entry : request.entries) {
        index = index.next();
        if (entry.index != index || entry.term < term || entry.term > request.term) {
            return false;
        }
        term = entry.term;
        if (entry.kind == storage::entry_kind::membership && !is_membership(entry.data)) {
            return false;
        }
    }
    return true;
}

} // namespace internal

template <class Rules>
bool basic_replica<Rules>::accept_leader(base::term term, const base::member_id& leader,
                                         base::instant now)
{
    if (term < term_ || (term == term_ && is_leader())) {
        return false;
    }
    if (term > term_ || role_ != replica_role::follower) {
        become_follower(term, leader, now);
    }
    leader_ = leader;
    latest_leader_term_ = term;
    leader_heard_ = now;
    reset_election_deadline(now);
    return true;
}

template <class Rules>
bool basic_replica<Rules>::previous_matches(const append_request& request) const
{
    // Committed entries are the same in every log.
    return request.previous_index <= commit_index_ ||
           log_.term_at(request.previous_index) == request.previous_term;
}

template <class Rules>
void basic_replica<Rules>::handle(const append_request& request, base::instant now)
{
    if (!internal::is_well_formed(request)) {
        return;
    }
    if (!accept_leader(request.term, request.leader, now)) {
        append_reply reply;
        reply.term = term_;
        reply.follower = self_;
        send_after_sync(request.leader, reply);
        return;
    }
    if (!previous_matches(request)) {
        reject_append(request);
        return;
    }
    accept_entries(request);
}

template <class Rules>
void basic_replica<Rules>::accept_entries(const append_request& request)
{
    for (const storage::log_entry& entry : request.entries) {
        if (entry.index <= commit_index_ || log_.term_at(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= log_.last_index()) {
            truncate_from(entry.index);
        }
        add_entry(entry);
    }
    append_reply reply;
    reply.term = term_;
    reply.follower = self_;
    reply.success = true;
    reply.match_index =
        base::log_index(request.previous_index.value() + request.entries.size());
    reply.round = request.round;
    commit_to(std::min(request.commit_index, reply.match_index));
    send_after_sync(request.leader, reply);
}

template <class Rules>
void basic_replica<Rules>::reject_append(const append_request& request)
{
    append_reply reply;
    reply.term = term_;
    reply.follower = self_;
    reply.round = request.round;
    // One step back passes over all entries of a conflicting term.
    reply.match_index = log_.last_index();
    if (request.previous_index <= log_.last_index()) {
        const base::log_index first = log_.first_of_term(request.previous_index);
        reply.match_index = std::max(commit_index_, base::log_index(first.value() - 1));
    }
    send_after_sync(request.leader, reply);
}

template <class Rules>
void basic_replica<Rules>::handle(const snapshot_chunk& chunk, base::instant now)
{
    if (chunk.total > options_.max_snapshot_bytes ||
        !internal::is_membership(chunk.membership)) {
        return;
    }
    snapshot_reply reply;
    reply.follower = self_;
    reply.last_index = chunk.last_index;
    if (!accept_leader(chunk.term, chunk.leader, now)) {
        reply.term = term_;
        send_after_sync(chunk.leader, reply);
        return;
    }
    reply.term = term_;
    reply.round = chunk.round;
    if (log_.term_at(chunk.last_index) == chunk.last_term) {
        commit_to(chunk.last_index);
    }
    if (chunk.last_index <= commit_index_) {
        incoming_.reset();
        reply.next_offset = chunk.total;
    }
    else if (store_chunk(chunk)) {
        install_snapshot();
        reply.next_offset = chunk.total;
    }
    else {
        reply.next_offset = incoming_->value.data.size();
    }
    send_after_sync(chunk.leader, reply);
}

// Returns true when the log snapshot is complete.
template <class Rules>
bool basic_replica<Rules>::store_chunk(const snapshot_chunk& chunk)
{
    const bool same = incoming_ && incoming_->value.index == chunk.last_index &&
                      incoming_->value.term == chunk.last_term &&
                      incoming_->total == chunk.total;
    if (!same) {
        incoming_.emplace();
        incoming_->value.index = chunk.last_index;
        incoming_->value.term = chunk.last_term;
        incoming_->value.membership = chunk.membership;
        incoming_->total = chunk.total;
    }
    std::vector<std::uint8_t>& data = incoming_->value.data;
    if (chunk.offset == data.size() && chunk.data.size() <= chunk.total - chunk.offset) {
        data.insert(data.end(), chunk.data.begin(), chunk.data.end());
    }
    return data.size() == chunk.total;
}

template <class Rules>
void basic_replica<Rules>::install_snapshot()
{
    snapshot_ =
        std::make_shared<const storage::log_snapshot>(std::move(incoming_->value));
    incoming_.reset();
    log_.reset(snapshot_->index, snapshot_->term);
    memberships_.reset(snapshot_->index, membership::decode(snapshot_->membership));
    commit_index_ = snapshot_->index;
    delivered_index_ = snapshot_->index;
    unwritten_from_ = {};
    unsynced_.clear();
    synced_index_ = {};
    unsynced_.push_back({add_write(snapshot_write{snapshot_, true}), snapshot_->index});
    output_.restore = snapshot_;
    output_.committed.clear();
}

} // namespace curranthoist::consensus
