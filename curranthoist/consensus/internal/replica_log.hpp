#pragma once

#include "curranthoist/consensus/replica.hpp"

#include <algorithm>
#include <limits>
#include <utility>

// Construction, the log and its writes, and the output of basic_replica.

namespace curranthoist::consensus {

template <class Rules>
basic_replica<Rules>::basic_replica(const storage::recovered_log& recovered,
                                    const replica_options& options, std::uint64_t seed,
                                    base::instant now)
    : self_(recovered.identity)
    , options_(options)
    , random_(seed)
    , term_(recovered.vote.term)
    , voted_for_(recovered.vote.voted_for)
    , snapshot_(recovered.snapshot)
{
    if (snapshot_) {
        log_.reset(snapshot_->index, snapshot_->term);
        memberships_.reset(snapshot_->index, membership::decode(snapshot_->membership));
        commit_index_ = snapshot_->index;
        delivered_index_ = snapshot_->index;
        output_.restore = snapshot_;
    }
    for (const storage::log_entry& entry : recovered.entries) {
        add_entry(entry);
    }
    unwritten_from_ = {};
    synced_index_ = log_.last_index();
    reset_election_deadline(now);
    if (const auto first = options_.first_election_timeout.count(); first > 0) {
        election_deadline_ = now + base::duration(random_.between(first / 2, first));
    }
}

template <class Rules>
std::uint64_t basic_replica<Rules>::add_write(
    std::variant<storage::vote_record, append_write, snapshot_write> content)
{
    output_.writes.push_back({++last_write_, std::move(content)});
    return last_write_;
}

template <class Rules>
void basic_replica<Rules>::write_vote()
{
    write_new_entries();
    add_write(storage::vote_record{term_, voted_for_});
}

template <class Rules>
void basic_replica<Rules>::write_new_entries()
{
    if (unwritten_from_ == base::log_index()) {
        return;
    }
    constexpr std::size_t no_limit = std::numeric_limits<std::size_t>::max();
    const std::uint64_t number =
        add_write(append_write{log_.slice(unwritten_from_, no_limit, no_limit)});
    unsynced_.push_back({number, log_.last_index()});
    unwritten_from_ = {};
}

template <class Rules>
void basic_replica<Rules>::add_entry(storage::log_entry entry)
{
    if (entry.kind == storage::entry_kind::membership) {
        memberships_.append(entry.index, membership::decode(entry.data));
    }
    if (unwritten_from_ == base::log_index()) {
        unwritten_from_ = entry.index;
    }
    log_.append(std::move(entry));
}

template <class Rules>
void basic_replica<Rules>::truncate_from(base::log_index from)
{
    const base::log_index last_kept(from.value() - 1);
    log_.truncate_from(from);
    memberships_.truncate_from(from);
    if (unwritten_from_ >= from) {
        unwritten_from_ = {};
    }
    synced_index_ = std::min(synced_index_, last_kept);
    for (unsynced_append& write : unsynced_) {
        write.last = std::min(write.last, last_kept);
    }
}

template <class Rules>
void basic_replica<Rules>::commit_to(base::log_index index)
{
    while (commit_index_ < index) {
        commit_index_ = commit_index_.next();
        const std::size_t size = log_.at(commit_index_).data.size();
        uncommitted_bytes_ -= std::min(uncommitted_bytes_, size);
    }
}

template <class Rules>
void basic_replica<Rules>::send_now(const base::member_id& to, message_body body)
{
    output_.messages.push_back({to, std::move(body)});
}

template <class Rules>
void basic_replica<Rules>::send_after_sync(const base::member_id& to, message_body body)
{
    write_new_entries();
    if (!Rules::sync_before_acknowledge || done_write_ == last_write_) {
        send_now(to, std::move(body));
        return;
    }
    held_.push_back({last_write_, term_, {to, std::move(body)}});
}

template <class Rules>
void basic_replica<Rules>::release_held()
{
    while (!held_.empty() && held_.front().after <= done_write_) {
        // A message of an earlier term has lost its purpose.
        if (held_.front().term == term_) {
            output_.messages.push_back(std::move(held_.front().message));
        }
        held_.pop_front();
    }
}

template <class Rules>
void basic_replica<Rules>::on_disk_done(std::uint64_t number, base::instant now)
{
    done_write_ = std::max(done_write_, number);
    while (!unsynced_.empty() && unsynced_.front().number <= done_write_) {
        synced_index_ = unsynced_.front().last;
        unsynced_.pop_front();
    }
    release_held();
    if (role_ == replica_role::candidate && own_vote_write_ <= done_write_) {
        votes_.insert(self_);
        count_votes(now);
    }
    else if (is_leader()) {
        advance_commit();
    }
}

template <class Rules>
void basic_replica<Rules>::compact(std::shared_ptr<const storage::log_snapshot> snapshot)
{
    if (snapshot->index > delivered_index_ ||
        (snapshot_ && snapshot->index <= snapshot_->index)) {
        return;
    }
    snapshot_ = std::move(snapshot);
    write_new_entries();
    add_write(snapshot_write{snapshot_, false});
    const std::uint64_t index = snapshot_->index.value();
    const std::uint64_t retained = std::min(index, options_.retained_entries);
    log_.drop_through(base::log_index(index - retained));
    memberships_.drop_before(log_.base_index());
}

template <class Rules>
storage::log_snapshot
basic_replica<Rules>::make_snapshot(base::log_index index,
                                    std::vector<std::uint8_t> data) const
{
    storage::log_snapshot result;
    result.index = index;
    result.term = log_.term_at(index).value_or(base::term());
    result.membership = memberships_.at(index).encode();
    result.data = std::move(data);
    return result;
}

template <class Rules>
replica_output basic_replica<Rules>::take_output(base::instant now)
{
    if (is_leader()) {
        send_updates(now);
    }
    write_new_entries();
    // Without other voters, writes or rounds this can be complete at once.
    if (is_leader()) {
        advance_commit();
    }
    settle_reads();
    while (delivered_index_ < commit_index_) {
        delivered_index_ = delivered_index_.next();
        output_.committed.push_back(log_.at(delivered_index_));
    }
    return std::exchange(output_, {});
}

template <class Rules>
void basic_replica<Rules>::on_message(const message_body& message, base::instant now)
{
    std::visit([&](const auto& body) { handle(body, now); }, message);
}

template <class Rules>
void basic_replica<Rules>::on_time(base::instant now)
{
    if (is_leader()) {
        if (is_transferring() && now >= transfer_deadline_) {
            transfer_to_ = {};
        }
        if (!check_quorum(now)) {
            become_follower(term_, {}, now);
        }
        return;
    }
    if (now >= election_deadline_ && is_voter()) {
        start_pre_vote(now);
    }
}

template <class Rules>
base::instant basic_replica<Rules>::next_deadline() const
{
    if (is_leader()) {
        return is_transferring() ? std::min(heartbeat_due_, transfer_deadline_)
                                 : heartbeat_due_;
    }
    return is_voter() ? election_deadline_ : base::instant::max();
}

template <class Rules>
replica_status basic_replica<Rules>::status() const
{
    replica_status result;
    result.self = self_;
    result.role = role_;
    result.term = term_;
    result.leader = leader_;
    result.commit_index = commit_index_;
    result.last_index = log_.last_index();
    result.snapshot_index = snapshot_ ? snapshot_->index : base::log_index();
    result.members = members();
    result.membership_index = memberships_.latest_index();
    if (is_leader()) {
        for (const member& one : members().members()) {
            const auto known = progress_.find(one.id);
            result.progress.push_back({one.id, match_of(one.id),
                                       known == progress_.end()
                                           ? base::instant::max()
                                           : known->second.last_heard()});
        }
        result.repair = repair_;
    }
    return result;
}

} // namespace curranthoist::consensus
