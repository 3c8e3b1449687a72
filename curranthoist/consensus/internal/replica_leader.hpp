#pragma once

#include "curranthoist/consensus/replica.hpp"

#include <algorithm>
#include <utility>

// What basic_replica does as the leader.

namespace curranthoist::consensus {

template <class Rules>
auto basic_replica<Rules>::propose(std::vector<std::uint8_t> command)
    -> std::optional<log_position>
{
    if (!is_leader() || is_transferring() ||
        command.size() > options_.max_command_bytes ||
        uncommitted_bytes_ + command.size() > options_.max_uncommitted_bytes) {
        return std::nullopt;
    }
    append_own(storage::entry_kind::command, std::move(command));
    return log_position{log_.last_index(), term_};
}

template <class Rules>
std::string basic_replica<Rules>::propose_change(const membership_change& change)
{
    if (!is_ready() || is_transferring()) {
        return "this member is not a ready leader";
    }
    if (memberships_.latest_index() > commit_index_) {
        return "another membership change is in progress";
    }
    if (std::string reason = members().refusal(change); !reason.empty()) {
        return reason;
    }
    if (change.kind == membership_change::change_kind::promote &&
        match_of(change.id).value() + options_.max_promotion_lag <
            commit_index_.value()) {
        return "learner " + change.id.str() + " has not caught up";
    }
    append_own(storage::entry_kind::membership, members().changed(change).encode());
    return "";
}

template <class Rules>
void basic_replica<Rules>::confirm_read(std::uint64_t token)
{
    if (!is_leader()) {
        output_.reads.push_back({token, false, {}});
        return;
    }
    if (!Rules::read_needs_round) {
        output_.reads.push_back({token, true, commit_index_});
        return;
    }
    // Requests that carry round_ may have left already; the next round has not begun.
    reads_.add(token, round_ + 1, commit_index_);
}

template <class Rules>
bool basic_replica<Rules>::transfer_leadership(base::instant now)
{
    if (!is_leader()) {
        return false;
    }
    base::member_id best;
    for (const auto& [id, progress] : progress_) {
        const member* target = members().find(id);
        const bool usable = target != nullptr && target->role == member_role::voter &&
                            now - progress.last_heard() < options_.min_election_timeout;
        if (usable && (best.empty() || progress.match() > match_of(best))) {
            best = id;
        }
    }
    transfer_to_ = best;
    transfer_sent_ = false;
    transfer_deadline_ = now + options_.max_election_timeout;
    return !best.empty();
}

template <class Rules>
bool basic_replica<Rules>::is_ready() const
{
    return is_leader() && commit_index_ >= term_start_;
}

template <class Rules>
std::optional<base::term> basic_replica<Rules>::led_term(base::instant now) const
{
    const bool is_handed_over = is_transferring() && transfer_sent_;
    if (!is_ready() || is_handed_over) {
        return std::nullopt;
    }
    const auto began = answered_round_began();
    return began && now - *began < options_.min_election_timeout ? std::optional(term_)
                                                                 : std::nullopt;
}

template <class Rules>
void basic_replica<Rules>::begin_round(base::instant now)
{
    ++round_;
    rounds_began_.push_back(now);
    while (now - rounds_began_.front() >= options_.min_election_timeout) {
        rounds_began_.pop_front();
    }
}

template <class Rules>
std::optional<base::instant> basic_replica<Rules>::answered_round_began() const
{
    std::uint64_t round = round_;
    for (auto began = rounds_began_.rbegin(); began != rounds_began_.rend(); ++began) {
        const bool is_answered = members().has_quorum([&](const base::member_id& id) {
            const auto found = progress_.find(id);
            return id == self_ || (found != progress_.end() &&
                                   found->second.acknowledged_round() >= round);
        });
        if (is_answered) {
            return *began;
        }
        --round;
    }
    return std::nullopt;
}

template <class Rules>
follower_progress* basic_replica<Rules>::progress_of(const base::member_id& id)
{
    const auto found = progress_.find(id);
    return found == progress_.end() ? nullptr : &found->second;
}

template <class Rules>
void basic_replica<Rules>::sync_progress(base::instant now)
{
    std::erase_if(progress_,
                  [&](const auto& one) { return members().find(one.first) == nullptr; });
    for (const member& one : members().members()) {
        if (one.id != self_) {
            progress_.try_emplace(one.id, log_.last_index().next(), now);
        }
    }
}

template <class Rules>
void basic_replica<Rules>::append_own(storage::entry_kind kind,
                                      std::vector<std::uint8_t> data)
{
    uncommitted_bytes_ += data.size();
    add_entry({term_, log_.last_index().next(), kind, std::move(data)});
}

template <class Rules>
base::log_index basic_replica<Rules>::match_of(const base::member_id& id) const
{
    if (id == self_) {
        return Rules::sync_before_acknowledge ? synced_index_ : log_.last_index();
    }
    const auto found = progress_.find(id);
    return found == progress_.end() ? base::log_index() : found->second.match();
}

template <class Rules>
void basic_replica<Rules>::advance_commit()
{
    const base::log_index reached =
        members().quorum_index([&](const base::member_id& id) { return match_of(id); });
    const bool may_commit =
        !Rules::commit_own_term_only || log_.term_at(reached) == term_;
    if (reached > commit_index_ && may_commit) {
        commit_to(reached);
        after_membership_commit();
    }
    update_repair();
}

template <class Rules>
void basic_replica<Rules>::after_membership_commit()
{
    if (memberships_.latest_index() > commit_index_ || !is_ready()) {
        return;
    }
    if (members().is_joint()) {
        append_own(storage::entry_kind::membership, members().without_leaving().encode());
    }
    else if (!is_voter()) {
        // Removed by the committed change: the remaining voters elect a leader.
        become_follower(term_, {}, leader_heard_);
    }
}

template <class Rules>
void basic_replica<Rules>::update_repair()
{
    if (!is_ready()) {
        return;
    }
    const membership& committed = memberships_.at(commit_index_);
    if (committed.is_joint() || committed.replacement().empty()) {
        return;
    }
    if (!repair_ || repair_->replacement != committed.replacement()) {
        repair_ = {committed.replaced(), committed.replacement(), commit_index_, false};
    }
    repair_->finished =
        repair_->finished || match_of(repair_->replacement) >= repair_->required_match;
}

template <class Rules>
void basic_replica<Rules>::handle(const append_reply& reply, base::instant now)
{
    if (reply.term > term_) {
        become_follower(reply.term, {}, now);
        return;
    }
    follower_progress* progress = progress_of(reply.follower);
    if (!is_leader() || reply.term < term_ || progress == nullptr ||
        reply.match_index > log_.last_index()) {
        return;
    }
    progress->heard(reply.round, now);
    if (reply.success) {
        progress->matched(reply.match_index);
        advance_commit();
    }
    else {
        progress->rejected(reply.match_index);
    }
}

template <class Rules>
void basic_replica<Rules>::handle(const snapshot_reply& reply, base::instant now)
{
    if (reply.term > term_) {
        become_follower(reply.term, {}, now);
        return;
    }
    follower_progress* progress = progress_of(reply.follower);
    if (!is_leader() || reply.term < term_ || progress == nullptr) {
        return;
    }
    progress->heard(reply.round, now);
    if (progress->snapshot() && progress->snapshot()->index == reply.last_index) {
        progress->chunk_acknowledged(reply.next_offset);
        advance_commit();
    }
}

template <class Rules>
bool basic_replica<Rules>::check_quorum(base::instant now)
{
    return members().has_quorum([&](const base::member_id& id) {
        const follower_progress* progress = progress_of(id);
        return id == self_ || (progress != nullptr && now - progress->last_heard() <
                                                          options_.max_election_timeout);
    });
}

template <class Rules>
void basic_replica<Rules>::continue_transfer(base::instant /*now*/)
{
    if (!is_transferring() || transfer_sent_ ||
        match_of(transfer_to_) < log_.last_index()) {
        return;
    }
    transfer_sent_ = true;
    vote_request request;
    request.term = term_;
    request.candidate = transfer_to_;
    send_now(transfer_to_, request);
}

template <class Rules>
void basic_replica<Rules>::send_updates(base::instant now)
{
    sync_progress(now);
    const bool heartbeat = now >= heartbeat_due_;
    if (heartbeat) {
        heartbeat_due_ = now + options_.heartbeat_interval;
    }
    // One round at a time: reads that arrive during a round share the next one.
    const bool round_idle = members().has_quorum([&](const base::member_id& id) {
        const follower_progress* progress = progress_of(id);
        return id == self_ ||
               (progress != nullptr && progress->acknowledged_round() >= round_);
    });
    const bool new_round = heartbeat || (reads_.last_round() > round_ && round_idle);
    if (new_round) {
        begin_round(now);
    }
    for (auto& [id, progress] : progress_) {
        send_to(id, progress, new_round, now);
    }
    continue_transfer(now);
}

template <class Rules>
void basic_replica<Rules>::send_to(const base::member_id& id, follower_progress& progress,
                                   bool heartbeat, base::instant now)
{
    if (heartbeat) {
        progress.allow_probe();
    }
    const bool in_log = progress.next() > log_.base_index();
    if (!in_log && !progress.snapshot() && snapshot_) {
        progress.start_snapshot(snapshot_);
    }
    if (progress.snapshot()) {
        send_chunk(id, progress, now);
    }
    else {
        send_entries(id, progress);
    }
    if (heartbeat) {
        send_heartbeat(id, progress);
    }
}

template <class Rules>
append_request basic_replica<Rules>::empty_append() const
{
    append_request request;
    request.term = term_;
    request.leader = self_;
    request.commit_index = commit_index_;
    request.round = round_;
    return request;
}

template <class Rules>
void basic_replica<Rules>::send_entries(const base::member_id& id,
                                        follower_progress& progress)
{
    base::log_index from = progress.next();
    while (from <= log_.last_index() && progress.may_send(options_.max_in_flight)) {
        append_request request = empty_append();
        request.previous_index = base::log_index(from.value() - 1);
        request.previous_term =
            log_.term_at(request.previous_index).value_or(base::term());
        request.entries =
            log_.slice(from, options_.max_append_entries, options_.max_append_bytes);
        from = request.entries.back().index.next();
        progress.sent_through(request.entries.back().index);
        send_now(id, std::move(request));
    }
}

template <class Rules>
void basic_replica<Rules>::send_heartbeat(const base::member_id& id,
                                          const follower_progress& progress)
{
    append_request request = empty_append();
    // With the last entry sent as the previous one, a heartbeat also detects lost
    // requests. During a log snapshot there is none; index 0 is in every log.
    if (!progress.snapshot()) {
        request.previous_index = base::log_index(progress.next().value() - 1);
        request.previous_term =
            log_.term_at(request.previous_index).value_or(base::term());
    }
    send_now(id, std::move(request));
}

template <class Rules>
void basic_replica<Rules>::send_chunk(const base::member_id& id,
                                      follower_progress& progress, base::instant now)
{
    // A lost chunk or reply is sent again after a few heartbeats.
    constexpr std::int64_t retry_heartbeats = 3;
    if (!progress.chunk_due(now, options_.heartbeat_interval * retry_heartbeats)) {
        return;
    }
    progress.chunk_sent(now);
    const storage::log_snapshot& snapshot = *progress.snapshot();
    const std::uint64_t offset =
        std::min<std::uint64_t>(progress.snapshot_offset(), snapshot.data.size());
    const std::uint64_t size =
        std::min<std::uint64_t>(options_.max_chunk_bytes, snapshot.data.size() - offset);
    snapshot_chunk chunk;
    chunk.term = term_;
    chunk.leader = self_;
    chunk.last_index = snapshot.index;
    chunk.last_term = snapshot.term;
    chunk.offset = offset;
    chunk.total = snapshot.data.size();
    chunk.membership = snapshot.membership;
    chunk.data.assign(snapshot.data.begin() + static_cast<std::ptrdiff_t>(offset),
                      snapshot.data.begin() + static_cast<std::ptrdiff_t>(offset + size));
    chunk.round = round_;
    send_now(id, std::move(chunk));
}

template <class Rules>
void basic_replica<Rules>::settle_reads()
{
    if (!is_ready() || reads_.empty()) {
        return;
    }
    for (std::uint64_t round = reads_.first_round(); round <= round_; ++round) {
        const bool confirmed = members().has_quorum([&](const base::member_id& id) {
            const follower_progress* progress = progress_of(id);
            return id == self_ ||
                   (progress != nullptr && progress->acknowledged_round() >= round);
        });
        if (!confirmed) {
            return;
        }
        reads_.confirm_through(round, term_start_, output_.reads);
    }
}

} // namespace curranthoist::consensus
