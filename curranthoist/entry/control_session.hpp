#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/entry/claim_ledger.hpp"
#include "curranthoist/entry/fact_outbox.hpp"
#include "curranthoist/entry/vm_lease.hpp"
#include "curranthoist/wire/peer_dialer.hpp"

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::entry {

// Who this process is towards the control processes.
struct session_identity
{
    base::vm_id vm;
    base::zone_id zone;
    base::incarnation run;
};

// The session of this VM with the control leader: heartbeats, the VM lease, the
// configuration in force, the roster, and claims. It tries the control addresses in turn,
// follows the hint of a control process that isn't the leader, and gives up a connection
// whose answer is overdue, because a connection can go silent for good.
class control_session
{
public:
    static constexpr base::duration heartbeat_interval{500};
    // A heartbeat without an answer for this long makes the session try another address.
    static constexpr base::duration answer_limit{1000};
    // An address that is not connected after this time is passed over.
    static constexpr base::duration connect_limit{300};
    // How long a successor for a released target may take.
    static constexpr base::duration release_settled{1000};

    struct handlers
    {
        // A configuration with a higher revision than the one before is in force.
        std::function<void()> on_configuration;
        // Changed facts of targets, or all if `full`.
        std::function<void(const wire::roster_update&)> on_roster;
        // The end of the VM lease moved.
        std::function<void()> on_lease;
    };

    control_session(ev::loop_ref loop, session_identity identity,
                    std::vector<base::endpoint> addresses,
                    base::counter_registry& metrics, handlers on);

    // Begins to dial.
    void start();

    [[nodiscard]] const control::configuration& configuration() const
    {
        return configuration_;
    }
    // When the VM lease ends; in the past if there is none.
    [[nodiscard]] base::instant lease_end() const
    {
        return lease_.end(configuration_.number);
    }
    [[nodiscard]] bool lease_valid() const { return clock_.now() < lease_end(); }

    // From now on the heartbeats say that this VM is stopping.
    void set_stopping();
    // The owner's view of one of its targets.
    void set_fact(const wire::target_fact_message& fact) { facts_.set(fact); }
    // The target is not owned any more.
    void forget_fact(const base::target_id& target) { facts_.remove(target); }
    // A target that was given up; reported until the configuration shows another owner.
    void release(const wire::released_target_message& released);

    // True if the leader has known for release_settled that this target was given up. The
    // last VM that stops has no successor, so its assignments never go away.
    [[nodiscard]] bool release_is_known(const base::target_id& target) const;

    // Claims a request id. Returns false if there is no session with a control process;
    // then nothing was asked. Otherwise the callback is called once, later.
    bool claim(wire::claim_request_message request, claim_callback callback);
    // Asks to record an attempt's outcome. The callback is called when the leader
    // answers; without an answer the caller asks again.
    void record(wire::claim_outcome_message outcome, record_callback callback);
    // Drops the callbacks of an attempt.
    void forget(const base::request_id& id, std::uint64_t attempt)
    {
        claims_.forget(id.str(), attempt);
    }

private:
    struct release_entry
    {
        wire::released_target_message message;
        // The first heartbeat of this session that reported it; 0 for none.
        std::uint64_t carried_by = 0;
        // When the leader answered that heartbeat.
        std::optional<base::instant> answered;
    };

    void note_answered_releases(std::uint64_t sequence);
    void dial(const base::endpoint& address);
    void dial_next();
    void on_connect();
    void on_message(const wire::envelope& message);
    void on_close(const std::string& reason);
    void on_tick(ev::timer& watcher, int events);
    void send_heartbeat();
    void on_hello(const wire::hello& message);
    void on_reply(const wire::heartbeat_reply& message);
    void on_update(const wire::configuration_update& message);
    void on_delta(const wire::configuration_delta& message);
    void on_revision_applied();
    void on_roster_update(const wire::roster_update& message);
    void follow_hint(const wire::heartbeat_reply& message);
    void forget_confirmed_releases();
    // Drops the connection at the next tick: handlers must not destroy the dialer.
    void leave(const std::string& reason);

    ev::loop_ref loop_;
    session_identity identity_;
    std::vector<base::endpoint> addresses_;
    handlers on_;
    base::monotonic_clock clock_;
    base::logger log_{"control-session"};
    base::counter& reconnects_;
    base::counter& granted_;
    ev::timer tick_;
    std::unique_ptr<wire::peer_dialer> dialer_;
    std::size_t next_address_ = 0;
    std::optional<base::endpoint> hint_;
    bool leaving_ = false;
    base::instant dialled_at_;
    base::instant heartbeat_due_;
    vm_lease lease_;
    fact_outbox facts_;
    claim_ledger claims_;
    std::map<base::target_id, release_entry> released_;
    bool stopping_ = false;
    control::configuration configuration_;
    std::uint64_t roster_sequence_ = 0;
};

} // namespace curranthoist::entry
