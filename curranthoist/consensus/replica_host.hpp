#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/consensus/host_options.hpp"
#include "curranthoist/consensus/peer_links.hpp"
#include "curranthoist/consensus/replica.hpp"
#include "curranthoist/consensus/state_machine.hpp"
#include "curranthoist/storage/log_store.hpp"
#include "curranthoist/storage/posix_disk.hpp"

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::consensus {

// How a proposal ended.
enum class proposal_outcome : std::uint8_t
{
    // Committed and applied.
    applied,
    // Certainly not in the log: this is not the leader, or it takes no proposals now.
    refused,
    // Leadership was lost; the command may or may not be committed.
    unknown,
};

// One member of the replicated log on the process's loop: the replica, its disk, its
// connections and the applied state machine. The loop, the store and the machine must
// outlive it.
//
//     storage::posix_disk disk("/var/lib/curranthoist");
//     storage::log_store store(disk);
//     replica_host host(loop, store, state, options, on_entry_session);
//     host.propose(command, [](proposal_outcome outcome, base::log_index) { ... });
//
// Callbacks run from the loop, never inside the call that registers them. All writes of
// one turn of the loop share one sync.
template <state_machine Machine, class Disk = storage::posix_disk>
class replica_host
{
public:
    using proposal_callback = std::function<void(proposal_outcome, base::log_index)>;
    // True if leadership was confirmed by a quorum round that began after the request,
    // and every command acknowledged before it has been applied here.
    using read_callback = std::function<void(bool confirmed)>;
    using leadership_handler = std::function<void(bool is_leader)>;

    // Continues from the store's state. Throws std::system_error if the endpoint can't be
    // bound.
    replica_host(ev::loop_ref loop, storage::log_store<Disk>& store, Machine& machine,
                 host_options options, peer_links::entry_handler on_entry);
    replica_host(const replica_host&) = delete;
    replica_host& operator=(const replica_host&) = delete;

    // Replicates a command. `applied` comes after the machine has applied it.
    void propose(std::vector<std::uint8_t> command, proposal_callback callback);
    void confirm_read(read_callback callback);
    // Starts a membership change; returns why it can't be made, or an empty text. Its
    // progress shows in status().
    std::string change_membership(const membership_change& change);
    // Hands over leadership before a planned stop; false if there is nobody to take it.
    bool transfer_leadership();
    // Called after this member became ready to lead (all earlier commands are applied),
    // and after it lost leadership.
    void set_leadership_handler(leadership_handler handler);

    // The term in which this member may act as the leader now; nullopt if it may not. It
    // is the term that the leadership handler reported last, and ends before the handler
    // reports the loss: with the message that tells of another term, and while no quorum
    // answers (replica::led_term).
    [[nodiscard]] std::optional<base::term> led_term() const;
    [[nodiscard]] bool is_leader() const { return led_term().has_value(); }
    // The latest term of which this member knows the elected leader (replica).
    [[nodiscard]] base::term latest_leader_term() const
    {
        return replica_.latest_leader_term();
    }
    // The leader's identity and address, if known.
    [[nodiscard]] std::optional<member> leader() const;
    [[nodiscard]] replica_status status() const { return replica_.status(); }

private:
    struct pending_proposal
    {
        base::term term;
        proposal_callback callback;
    };
    struct confirmed_read
    {
        base::log_index index;
        read_callback callback;
    };

    void on_timer(ev::timer& watcher, int events);
    void on_wake(ev::timer& watcher, int events);
    void on_peer_message(const message_body& message);
    // Asks for one run of process() in this turn of the loop.
    void wake();
    void process();
    bool process_once();
    void write(const disk_write& write);
    void apply(const storage::log_entry& entry);
    void take_snapshot_if_due();
    void finish_proposals();
    void finish_reads(const std::vector<read_result>& results);
    void report_leadership();
    void schedule();
    void fail(const std::string& reason);

    storage::log_store<Disk>& store_;
    Machine& machine_;
    host_options options_;
    base::logger log_{"consensus"};
    base::monotonic_clock clock_;
    replica replica_;
    peer_links links_;
    ev::timer timer_;
    ev::timer wake_timer_;
    leadership_handler on_leadership_;
    base::log_index applied_;
    base::log_index snapshot_at_;
    membership dialed_;
    bool leads_ = false;
    base::term leads_in_;
    base::term proposals_term_;
    bool failed_ = false;
    std::uint64_t next_token_ = 0;
    std::map<base::log_index, pending_proposal> proposals_;
    std::map<std::uint64_t, read_callback> reads_;
    std::vector<confirmed_read> confirmed_;
    // Calls to make in the next run of process().
    std::vector<std::function<void()>> deferred_;
};

} // namespace curranthoist::consensus

#include "curranthoist/consensus/internal/replica_host.hpp"
