#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/apply_result.hpp"
#include "curranthoist/control/assignment_controller.hpp"
#include "curranthoist/control/configuration_feed.hpp"
#include "curranthoist/control/controller_output.hpp"
#include "curranthoist/control/deadline_queue.hpp"
#include "curranthoist/control/event_time.hpp"
#include "curranthoist/control/lease_controller.hpp"
#include "curranthoist/control/roster.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace curranthoist::control {

class cluster_state;

// Runs on every control process and acts on the leader only: grants VM leases, assigns
// targets, keeps the roster, and turns claim messages into commands. Pure: the caller
// passes events and time, applies committed commands to the state, and does what the
// output says.
//
//     controller control(state);
//     control.on_message(session, envelope, now);
//     for (auto& command : control.take_output().proposals) { log.propose(...); }
//
// It holds a reference to the state, which must outlive it. Every committed command is
// first applied to the state and then reported by on_applied().
class controller
{
public:
    explicit controller(const cluster_state& state, controller_rules rules = {});

    // A VM's session: opened after its valid hello.
    void on_session_opened(session_number session, const wire::hello& hello,
                           event_time now);
    void on_session_closed(session_number session);
    // A frame of an opened session. Returns false if an entry VM must not send it; the
    // caller closes the session then.
    bool on_message(session_number session, const wire::envelope& message,
                    event_time now);

    // This process was elected. Call it when the election is over, never earlier.
    void on_leadership_gained(event_time now);
    void on_leadership_lost();
    // Where entry VMs find the leader, as "address:port"; empty if that is not known.
    void set_leader_hint(std::string leader) { leader_hint_ = std::move(leader); }
    // The round of that number ended. `confirmed` means that a quorum confirmed the
    // leadership after the round was requested, and that the state has every command that
    // was committed before.
    void on_read_confirmed(std::uint64_t round, bool confirmed, event_time now);
    // A committed command was applied to the state, with that result.
    void on_applied(const apply_result& result, event_time now);
    // The state was replaced by a log snapshot.
    void on_state_replaced()
    {
        known_revision_ = base::revision();
        vms_due_ = true;
    }
    // At least every 100 ms.
    void on_time(event_time now);

    // What is to be done since the last call.
    controller_output take_output();

    [[nodiscard]] bool is_leader() const { return leader_; }
    // True once a quorum confirmed the leadership: the state is complete.
    [[nodiscard]] bool is_ready() const { return leader_ && ready_; }
    [[nodiscard]] const lease_controller& leases() const { return leases_; }
    [[nodiscard]] const roster& facts() const { return roster_; }
    // Whether the open process of the VM has a session here.
    [[nodiscard]] bool is_connected(const base::vm_id& vm) const;

private:
    struct session_state
    {
        base::vm_id vm;
        base::incarnation run;
        std::uint64_t roster_sent = 0;
        bool roster_started = false;
        // The revision that the VM has when all that was sent to it has arrived; not
        // known before its first heartbeat on this session.
        std::optional<base::revision> configuration_sent;
        base::instant configuration_sent_at;
        bool full_facts_seen = false;
    };

    void on_heartbeat(session_number session, session_state& from,
                      const wire::heartbeat& message, event_time now);
    void take_released(const session_state& from, const wire::heartbeat& message);
    void on_claim_request(session_number session, const session_state& from,
                          const wire::claim_request& message, event_time now);
    void on_claim_outcome(const session_state& from, const wire::claim_outcome& message,
                          event_time now);
    void reply_heartbeat(session_number session, std::uint64_t sequence, bool granted);
    void answer_claim(const claim_result& result);
    void acknowledge(const record_result& result);
    void note_incarnation(const incarnation_result& result);
    void note_applied_revision(session_state& from, base::revision applied,
                               event_time now);
    void refresh(event_time now);
    void check_all_vms(event_time now);
    void check_vm(const base::vm_id& vm, event_time now);
    void schedule_check(const base::vm_id& vm, event_time now);
    void update_process(const base::vm_id& vm, event_time now);
    void close_process(const base::vm_id& vm, event_time now);
    void update_assignments(event_time now);
    void remove_retired_vms(event_time now);
    void request_round(event_time now);
    void push_configuration(event_time now);
    void push_roster(event_time now);
    [[nodiscard]] bool roster_is_complete(event_time now) const;
    [[nodiscard]] assignment_controller::vm_view view_of(const base::vm_id& vm,
                                                         event_time now) const;
    [[nodiscard]] bool is_expected(const base::vm_id& vm, event_time now) const;
    [[nodiscard]] base::instant expected_until(const base::vm_id& vm) const;
    [[nodiscard]] bool is_open(const session_state& session) const;
    [[nodiscard]] bool has_session(const base::vm_id& vm, base::incarnation run) const;
    [[nodiscard]] std::optional<session_number> session_of(const base::vm_id& vm,
                                                           base::incarnation run) const;

    // True if `what` was not proposed within the last 2 s; notes it then. A lost proposal
    // is repeated after that, and the state ignores a duplicate.
    bool may_propose(const std::string& what, event_time now);
    void log(std::string sentence) { output_.log_lines.push_back(std::move(sentence)); }

    const cluster_state& state_;
    bool leader_ = false;
    bool ready_ = false;
    std::string leader_hint_;
    std::map<session_number, session_state> sessions_;
    std::map<std::pair<base::vm_id, base::incarnation>, std::set<session_number>>
        sessions_of_;
    lease_controller leases_;
    assignment_controller assignments_;
    roster roster_;
    std::uint64_t last_round_ = 0;
    std::optional<std::uint64_t> open_round_;
    base::instant round_started_;
    base::instant roster_pushed_;
    base::revision known_revision_;
    // When this leader first saw each VM in the configuration.
    std::map<base::vm_id, base::instant> known_since_;

    // What changed since it was last acted on. A quiet leader works for heartbeats only.
    // Operators changed the configuration, or the leadership is new.
    bool vms_due_ = true;
    bool assignments_due_ = true;
    bool configuration_due_ = false;
    bool roster_due_ = false;
    // When the assignment step is due although nothing changed.
    std::optional<base::instant> assignments_at_;
    deadline_queue checks_;
    std::map<base::vm_id, assignment_controller::vm_view> views_;
    // VMs in service that may still connect.
    std::set<base::vm_id> expected_;
    // VMs that are to be removed once they are idle.
    std::set<base::vm_id> retired_;
    std::uint64_t placements_seen_ = 0;
    std::uint64_t roster_pushed_sequence_ = 0;

    configuration_feed feed_;
    base::instant configuration_pushed_;
    base::instant old_dropped_;
    std::map<std::string, base::instant> proposed_;
    controller_output output_;
};

} // namespace curranthoist::control
