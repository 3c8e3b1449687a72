#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/controller_output.hpp"
#include "curranthoist/control/controller_rules.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace curranthoist::control {

class cluster_state;

// Decides on VM leases on the leader. Pure; the controller passes heartbeats, rounds and
// time. A lease belongs to one process (a VM's incarnation). The replicated state names
// the one process of each VM that may hold a lease, so that a new leader knows it too.
class lease_controller
{
public:
    // A grant is valid this long from the moment the heartbeat was sent.
    static constexpr base::duration lease_length{4000};
    // A process without a heartbeat for this long holds no lease any more: the lease
    // length and 10% for clocks that run at different speeds.
    static constexpr base::duration expiry_wait{4400};
    // A lease may be held without revisions that are younger than this.
    static constexpr base::duration revision_grace{2000};

    // One heartbeat that waits for a round or was answered by one.
    struct answer
    {
        session_number session = 0;
        std::uint64_t sequence = 0;
        base::vm_id vm;
        bool granted = false;
    };

    explicit lease_controller(controller_rules rules)
        : rules_(rules)
    {}

    // Forgets everything and starts the wait of a new leader. All revisions so far count
    // as old, because this leader does not know when they were committed.
    void reset(base::instant now, base::revision current);
    // The state is complete; `current` and all revisions before it count as old.
    void on_ready(base::revision current);
    // A heartbeat of the process `run` of `vm` arrived.
    void on_heartbeat(const base::vm_id& vm, base::incarnation run, bool stopping,
                      base::revision applied, session_number session,
                      std::uint64_t sequence, base::instant now);
    void on_session_closed(session_number session);
    // The configuration has a new revision.
    void on_revision(base::revision number, base::instant now);
    // The state opened the process `run` of `vm`. It gets no grant before it has applied
    // `current`: an assignment may have left the VM while it had no lease.
    void on_opened(const base::vm_id& vm, base::revision current);
    void on_closed(const base::vm_id& vm);
    // A command that closes the VM's process was proposed: no more grants to it until the
    // command is applied, however long that takes.
    void on_closing(const base::vm_id& vm, base::instant now);

    // True if heartbeats wait for a round.
    [[nodiscard]] bool wants_round() const { return !waiting_.empty(); }
    // A round begins: the heartbeats that wait now are answered when it ends.
    void begin_round();
    // The round ended.
    std::vector<answer> finish_round(bool confirmed, const cluster_state& state,
                                     base::instant now);

    // Whether the lease that the process may hold has run out.
    [[nodiscard]] bool is_expired(const base::vm_id& vm, base::incarnation run,
                                  base::instant now) const;
    // When is_expired() becomes true if no further heartbeat arrives.
    [[nodiscard]] base::instant expires_at(const base::vm_id& vm,
                                           base::incarnation run) const;
    // When is_heard() becomes false if no further heartbeat arrives; the process must be
    // heard now.
    [[nodiscard]] base::instant heard_until(const base::vm_id& vm,
                                            base::incarnation run) const
    {
        return processes_.at(process(vm, run)).heard + expiry_wait;
    }
    // Whether the process sent a heartbeat within the expiry wait.
    [[nodiscard]] bool is_heard(const base::vm_id& vm, base::incarnation run,
                                base::instant now) const;
    // Whether the VM said that it is stopping.
    [[nodiscard]] bool is_stopping(const base::vm_id& vm, base::incarnation run) const;
    // Whether a command that closes the VM's process was proposed and not yet applied.
    [[nodiscard]] bool is_closing(const base::vm_id& vm) const
    {
        return closing_.contains(vm);
    }
    // False for 2 s after such a proposal. A lost one is repeated then; a duplicate
    // closes nothing.
    [[nodiscard]] bool may_close_again(const base::vm_id& vm, base::instant now) const;
    // The revision that the process had applied at its last heartbeat.
    [[nodiscard]] base::revision applied(const base::vm_id& vm,
                                         base::incarnation run) const;
    // The process of `vm` that sent the latest heartbeat within the expiry wait.
    [[nodiscard]] std::optional<base::incarnation> heard_run(const base::vm_id& vm,
                                                             base::instant now) const;
    // When this leader was elected.
    [[nodiscard]] base::instant elected() const { return elected_; }
    // Forgets processes that were not heard for several expiry waits and hold no lease.
    void drop_old(const cluster_state& state, base::instant now);

private:
    using process = std::pair<base::vm_id, base::incarnation>;
    struct process_view
    {
        base::instant heard;
        base::revision applied;
        bool stopping = false;
    };
    struct waiting_heartbeat
    {
        process from;
        std::uint64_t sequence = 0;
        base::instant arrived;
    };

    [[nodiscard]] bool may_grant(const waiting_heartbeat& heartbeat,
                                 const cluster_state& state, base::instant now) const;
    [[nodiscard]] base::revision required_revision(const base::vm_id& vm) const;
    [[nodiscard]] base::duration wait() const;

    controller_rules rules_;
    base::instant elected_;
    std::map<process, process_view> processes_;
    std::map<session_number, waiting_heartbeat> waiting_;
    std::map<session_number, waiting_heartbeat> in_round_;
    std::map<base::vm_id, base::revision> opened_at_;
    std::map<base::vm_id, base::instant> closing_;
    // Revisions of this leader with the time at which it learnt that they are committed.
    std::deque<std::pair<base::revision, base::instant>> young_;
    // The newest revision that every VM must have.
    base::revision old_;
};

} // namespace curranthoist::control
