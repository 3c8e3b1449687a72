#pragma once

#include "curranthoist/base/random_source.hpp"
#include "curranthoist/consensus/follower_progress.hpp"
#include "curranthoist/consensus/log_view.hpp"
#include "curranthoist/consensus/membership_history.hpp"
#include "curranthoist/consensus/read_queue.hpp"
#include "curranthoist/consensus/replica_options.hpp"
#include "curranthoist/consensus/replica_output.hpp"
#include "curranthoist/consensus/replica_rules.hpp"
#include "curranthoist/consensus/replica_status.hpp"
#include "curranthoist/storage/recovered_log.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::consensus {

// The first entry of a new log; every initial member starts with this one. It holds the
// initial membership.
storage::log_entry first_log_entry(const membership& initial);

// One member's copy of the replicated log as a pure state machine: Raft with pre-vote,
// check-quorum, learners, joint replacement of members, log snapshots and reads confirmed
// by quorum rounds. It does no I/O and reads no clock; replica_host drives it:
//
//     replica log(recovered, options, seed, now);
//     log.on_message(sender, message, now);
//     replica_output output = log.take_output(now);
//     // Perform output.writes in order, then call log.on_disk_done() and take the output
//     // again: it holds the messages that had to wait for the sync.
//
// Instants are of one monotonic clock and never go back.
template <class Rules>
class basic_replica
{
public:
    // Continues from what the data folder holds. `seed` randomises the election timeout
    // and must differ between members.
    basic_replica(const storage::recovered_log& recovered, const replica_options& options,
                  std::uint64_t seed, base::instant now);

    // Handles a message. Messages of impossible content are ignored.
    void on_message(const message_body& message, base::instant now);
    // Does what is due; call it at next_deadline() or at any other time.
    void on_time(base::instant now);
    // All writes up to and including `number` are synced.
    void on_disk_done(std::uint64_t number, base::instant now);

    // Appends a command on the leader and returns its index and term by way of the
    // entry's position; nothing if this is not the leader, is handing over its
    // leadership, or has too many uncommitted bytes. The command is committed only when
    // take_output() returns an entry of that index and term.
    struct log_position
    {
        base::log_index index;
        base::term term;
    };
    std::optional<log_position> propose(std::vector<std::uint8_t> command);
    // Appends a membership change on the leader. Returns why it can't be made, or an
    // empty text. Only one change is in progress at a time.
    std::string propose_change(const membership_change& change);
    // Asks for confirmation that this is still the leader, by a quorum round that starts
    // after this call. The result with `token` comes with take_output().
    void confirm_read(std::uint64_t token);
    // Hands leadership to the voter with the longest log; proposals are refused
    // meanwhile. Returns false if this is not the leader or there is no other voter.
    bool transfer_leadership(base::instant now);
    // Drops the log up to a log snapshot of the applied state and stores the snapshot.
    // Its index must have been returned as committed. Fill it with make_snapshot().
    void compact(std::shared_ptr<const storage::log_snapshot> snapshot);
    // A log snapshot of the state `data` after the entry at `index`, which must be
    // committed and after the last log snapshot.
    [[nodiscard]] storage::log_snapshot
    make_snapshot(base::log_index index, std::vector<std::uint8_t> data) const;

    // Everything to be done since the last call. Sends what is new to followers, so call
    // it once after a batch of inputs.
    replica_output take_output(base::instant now);

    // The time at which on_time() has something to do.
    [[nodiscard]] base::instant next_deadline() const;
    [[nodiscard]] bool is_leader() const { return role_ == replica_role::leader; }
    // True on a leader that has committed an entry of its own term.
    [[nodiscard]] bool is_ready() const;
    // The term in which this member may act as the leader at `now`; nullopt if it may
    // not. A quorum has answered a round that began less than min_election_timeout ago:
    // within that time none of these members grants a pre-vote to another. A process that
    // stood still therefore acts as the leader only after a quorum has answered it again,
    // whatever it reads first. A leader that has asked a successor to stand acts no
    // longer.
    [[nodiscard]] std::optional<base::term> led_term(base::instant now) const;
    // The latest term of which this member knows the elected leader; 0 since its start if
    // it knows none. Unlike current_term() it counts no candidate that lost.
    [[nodiscard]] base::term latest_leader_term() const { return latest_leader_term_; }
    [[nodiscard]] bool is_transferring() const { return !transfer_to_.empty(); }
    [[nodiscard]] const base::member_id& self() const { return self_; }
    [[nodiscard]] const base::member_id& leader() const { return leader_; }
    [[nodiscard]] base::term current_term() const { return term_; }
    [[nodiscard]] base::log_index commit_index() const { return commit_index_; }
    [[nodiscard]] const membership& members() const { return memberships_.latest(); }
    [[nodiscard]] replica_status status() const;

private:
    // A message that waits until the write with `after` is synced.
    struct held_message
    {
        std::uint64_t after;
        base::term term;
        outgoing_message message;
    };
    // A write of entries that is not yet synced.
    struct unsynced_append
    {
        std::uint64_t number;
        base::log_index last;
    };
    struct partial_snapshot
    {
        storage::log_snapshot value;
        std::uint64_t total = 0;
    };

    // Terms and votes (internal/replica_election.hpp).
    [[nodiscard]] bool is_voter() const { return members().is_voter(self_); }
    // True for every member that this replica's own log names. A learner votes too: the
    // entry that promotes it may not have reached it, and a candidate counts only the
    // voters of its own log.
    [[nodiscard]] bool may_vote() const { return members().find(self_) != nullptr; }
    void reset_election_deadline(base::instant now);
    void become_follower(base::term term, const base::member_id& leader,
                         base::instant now);
    void start_pre_vote(base::instant now);
    void start_election(base::instant now);
    void request_votes(bool pre_vote);
    void count_votes(base::instant now);
    void become_leader(base::instant now);
    [[nodiscard]] bool log_is_current(const vote_request& request) const;
    [[nodiscard]] bool would_pre_vote(const vote_request& request,
                                      base::instant now) const;
    void handle(const vote_request& request, base::instant now);
    void handle(const vote_reply& reply, base::instant now);

    // Following (internal/replica_follower.hpp).
    bool accept_leader(base::term term, const base::member_id& leader, base::instant now);
    void handle(const append_request& request, base::instant now);
    [[nodiscard]] bool previous_matches(const append_request& request) const;
    void accept_entries(const append_request& request);
    void reject_append(const append_request& request);
    void handle(const snapshot_chunk& chunk, base::instant now);
    bool store_chunk(const snapshot_chunk& chunk);
    void install_snapshot();

    // Leading (internal/replica_leader.hpp).
    void handle(const append_reply& reply, base::instant now);
    void handle(const snapshot_reply& reply, base::instant now);
    follower_progress* progress_of(const base::member_id& id);
    void sync_progress(base::instant now);
    void append_own(storage::entry_kind kind, std::vector<std::uint8_t> data);
    [[nodiscard]] base::log_index match_of(const base::member_id& id) const;
    void advance_commit();
    void after_membership_commit();
    void update_repair();
    void continue_transfer(base::instant now);
    bool check_quorum(base::instant now);
    void begin_round(base::instant now);
    // When the newest round began that a quorum has answered; nullopt if none has been
    // for min_election_timeout.
    [[nodiscard]] std::optional<base::instant> answered_round_began() const;
    void send_updates(base::instant now);
    void send_to(const base::member_id& id, follower_progress& progress, bool heartbeat,
                 base::instant now);
    void send_entries(const base::member_id& id, follower_progress& progress);
    void send_heartbeat(const base::member_id& id, const follower_progress& progress);
    void send_chunk(const base::member_id& id, follower_progress& progress,
                    base::instant now);
    [[nodiscard]] append_request empty_append() const;
    void settle_reads();

    // The log and its writes (internal/replica_log.hpp).
    std::uint64_t
    add_write(std::variant<storage::vote_record, append_write, snapshot_write> content);
    void write_vote();
    void write_new_entries();
    void add_entry(storage::log_entry entry);
    void truncate_from(base::log_index from);
    void commit_to(base::log_index index);
    void send_now(const base::member_id& to, message_body body);
    void send_after_sync(const base::member_id& to, message_body body);
    void release_held();

    base::member_id self_;
    replica_options options_;
    base::random_source random_;

    replica_role role_ = replica_role::follower;
    base::term term_;
    base::member_id voted_for_;
    base::member_id leader_;
    base::term latest_leader_term_;
    log_view log_;
    membership_history memberships_;
    base::log_index commit_index_;
    base::log_index delivered_index_;
    std::shared_ptr<const storage::log_snapshot> snapshot_;
    std::optional<partial_snapshot> incoming_;

    base::instant election_deadline_;
    base::instant leader_heard_{-1'000'000};
    std::set<base::member_id> votes_;
    std::uint64_t own_vote_write_ = 0;

    // Valid on the leader only.
    std::map<base::member_id, follower_progress> progress_;
    base::instant heartbeat_due_;
    std::uint64_t round_ = 0;
    // When the latest rounds began, the oldest first; the last one is round_.
    std::deque<base::instant> rounds_began_;
    base::log_index term_start_;
    std::size_t uncommitted_bytes_ = 0;
    read_queue reads_;
    std::optional<repair_status> repair_;
    base::member_id transfer_to_;
    base::instant transfer_deadline_;
    bool transfer_sent_ = false;

    // The first entry that no write holds yet; 0 if there is none.
    base::log_index unwritten_from_;
    base::log_index synced_index_;
    std::deque<unsynced_append> unsynced_;
    std::uint64_t last_write_ = 0;
    std::uint64_t done_write_ = 0;
    std::deque<held_message> held_;
    replica_output output_;
};

// The replica that programs use.
using replica = basic_replica<replica_rules>;

} // namespace curranthoist::consensus

#include "curranthoist/consensus/internal/replica_election.hpp"
#include "curranthoist/consensus/internal/replica_follower.hpp"
#include "curranthoist/consensus/internal/replica_leader.hpp"
#include "curranthoist/consensus/internal/replica_log.hpp"
