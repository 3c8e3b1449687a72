#pragma once

#include "curranthoist/consensus/replica.hpp"

// Terms, votes and elections of basic_replica.

namespace curranthoist::consensus {

template <class Rules>
void basic_replica<Rules>::reset_election_deadline(base::instant now)
{
    election_deadline_ =
        now + base::duration(random_.between(options_.min_election_timeout.count(),
                                             options_.max_election_timeout.count()));
}

template <class Rules>
void basic_replica<Rules>::become_follower(base::term term, const base::member_id& leader,
                                           base::instant now)
{
    if (role_ != replica_role::follower) {
        reset_election_deadline(now);
    }
    role_ = replica_role::follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
    repair_.reset();
    transfer_to_ = {};
    reads_.fail_all(output_.reads);
    if (term > term_) {
        term_ = term;
        voted_for_ = {};
        write_vote();
    }
}

template <class Rules>
void basic_replica<Rules>::start_pre_vote(base::instant now)
{
    reset_election_deadline(now);
    role_ = replica_role::pre_candidate;
    leader_ = {};
    votes_ = {self_};
    request_votes(true);
    count_votes(now);
}

template <class Rules>
void basic_replica<Rules>::start_election(base::instant now)
{
    reset_election_deadline(now);
    role_ = replica_role::candidate;
    leader_ = {};
    term_ = term_.next();
    voted_for_ = self_;
    votes_.clear();
    write_vote();
    own_vote_write_ = last_write_;
    request_votes(false);
    if (!Rules::sync_before_acknowledge) {
        votes_.insert(self_);
        count_votes(now);
    }
}

template <class Rules>
void basic_replica<Rules>::request_votes(bool pre_vote)
{
    vote_request request;
    request.pre_vote = pre_vote;
    request.term = pre_vote ? term_.next() : term_;
    request.candidate = self_;
    request.last_index = log_.last_index();
    request.last_term = log_.last_term();
    for (const member& one : members().members()) {
        if (one.id != self_ && one.role != member_role::learner) {
            send_after_sync(one.id, request);
        }
    }
}

template <class Rules>
void basic_replica<Rules>::count_votes(base::instant now)
{
    const bool won = members().has_quorum(
        [&](const base::member_id& id) { return votes_.contains(id); });
    if (!won) {
        return;
    }
    if (role_ == replica_role::pre_candidate) {
        start_election(now);
    }
    else if (role_ == replica_role::candidate) {
        become_leader(now);
    }
}

template <class Rules>
void basic_replica<Rules>::become_leader(base::instant now)
{
    role_ = replica_role::leader;
    leader_ = self_;
    latest_leader_term_ = term_;
    votes_.clear();
    progress_.clear();
    round_ = 0;
    rounds_began_.clear();
    repair_.reset();
    transfer_to_ = {};
    heartbeat_due_ = now;
    uncommitted_bytes_ = 0;
    for (base::log_index i = commit_index_.next(); i <= log_.last_index(); i = i.next()) {
        uncommitted_bytes_ += log_.at(i).data.size();
    }
    sync_progress(now);
    // Entries of earlier terms are committed together with this one.
    term_start_ = log_.last_index().next();
    append_own(storage::entry_kind::empty, {});
}

template <class Rules>
bool basic_replica<Rules>::log_is_current(const vote_request& request) const
{
    return request.last_term > log_.last_term() ||
           (request.last_term == log_.last_term() &&
            request.last_index >= log_.last_index());
}

template <class Rules>
bool basic_replica<Rules>::would_pre_vote(const vote_request& request,
                                          base::instant now) const
{
    // A member that hears its leader does not help to replace it, so a member that was
    // cut off for a while can't end a working leader's term.
    const bool has_leader =
        is_leader() || now - leader_heard_ < options_.min_election_timeout;
    return may_vote() && !has_leader && request.term > term_ && log_is_current(request);
}

template <class Rules>
void basic_replica<Rules>::handle(const vote_request& request, base::instant now)
{
    if (request.candidate == self_) {
        if (request.term == term_ && role_ == replica_role::follower && is_voter()) {
            start_election(now);
        }
        return;
    }
    vote_reply reply;
    reply.pre_vote = request.pre_vote;
    reply.voter = self_;
    if (request.pre_vote) {
        reply.granted = would_pre_vote(request, now);
        reply.term = reply.granted ? request.term : term_;
        send_after_sync(request.candidate, reply);
        return;
    }
    if (request.term > term_) {
        become_follower(request.term, {}, now);
    }
    reply.granted = may_vote() && request.term == term_ && log_is_current(request) &&
                    (voted_for_.empty() || voted_for_ == request.candidate);
    reply.term = term_;
    if (reply.granted) {
        if (voted_for_.empty()) {
            voted_for_ = request.candidate;
            write_vote();
        }
        reset_election_deadline(now);
    }
    send_after_sync(request.candidate, reply);
}

template <class Rules>
void basic_replica<Rules>::handle(const vote_reply& reply, base::instant now)
{
    if (!reply.granted) {
        if (reply.term > term_) {
            become_follower(reply.term, {}, now);
        }
        return;
    }
    const bool expected =
        reply.pre_vote
            ? role_ == replica_role::pre_candidate && reply.term == term_.next()
            : role_ == replica_role::candidate && reply.term == term_;
    if (expected) {
        votes_.insert(reply.voter);
        count_votes(now);
    }
}

} // namespace curranthoist::consensus
