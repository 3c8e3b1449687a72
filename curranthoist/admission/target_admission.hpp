#pragma once

#include "curranthoist/admission/call_result.hpp"
#include "curranthoist/admission/cold_detector.hpp"
#include "curranthoist/admission/configured_limits.hpp"
#include "curranthoist/admission/configured_return.hpp"
#include "curranthoist/admission/connection_ledger.hpp"
#include "curranthoist/admission/target_action.hpp"
#include "curranthoist/admission/target_status.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace curranthoist::admission {

// One request for the target. `call` is unique in the life of this admission.
struct admission_request
{
    std::uint64_t call = 0;
    base::fence fence;
    base::instant deadline;
    // An order: it never uses a kept connection, because libcurl resends by itself there.
    bool fresh_connection = false;
};

struct target_admission_options
{
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    base::fence fence;
    // From the assignment: what the former owner proved.
    bool warm = false;
    std::uint64_t pace_milli_per_s = 0;
    // The warm service time of other targets of the service; 0 if unknown.
    base::duration expected_service_time;
};

// One owner's view of one target: decides which requests start when, on which kind of
// connection, and which are refused. It does no I/O; the owner's shell carries out the
// actions that every event returns, in their order, and calls on_time() at next_wakeup():
//
//     target_admission<> admission(options);
//     admission.on_lease(lease_end);
//     run(admission.enqueue(now, {call, fence, deadline}));
//     run(admission.on_result(now, call, result));
//
// Connections: one libcurl multi handle a target with a cap of connection_limit(). The
// shell reports every socket that libcurl opens (with the call it is opened for) and
// closes, with the number of sockets then open. A fresh call at the cap lets libcurl
// close its oldest idle connection first. Every started call ends by one on_result() or
// by a cancel_call action, never by both. An event that occurs while actions are carried
// out (a cancelled call closes its socket) is reported after the last of them.
template <limit_policy Limits = configured_limits,
          return_policy Return = configured_return>
class target_admission
{
public:
    using actions = std::vector<target_action>;

    // A cancelled request may still be running for this long.
    static constexpr base::duration cancelled_slot_kept{20};
    // A request is overdue after 3 times the recent p99, at least after the floor.
    static constexpr base::duration overdue_floor{100};
    static constexpr base::duration overdue_without_history{500};
    // How often a target that status polls call unreachable may be tried.
    static constexpr base::duration probe_interval{2000};
    // Calls in a row without any response after which the target counts as unreachable.
    static constexpr int failures_when_away = 3;
    // A lease that ends sooner leaves no time for a request.
    static constexpr base::duration least_lease{5};
    // A request must have the warm service time left when it starts, but no more than
    // this is demanded: a wrong estimate must not keep all requests from correcting it.
    static constexpr base::duration most_run_time_demanded{20};

    explicit target_admission(const target_admission_options& options, Limits limits = {},
                              Return return_rule = {});

    // The VM lease is valid until `end`; a later call moves it, also backwards.
    void on_lease(base::instant end) { lease_end_ = end; }
    // Changed limits take effect for the next starts.
    void set_limits(std::uint32_t slots, std::uint32_t connections);

    // A part or order arrived. It starts, waits or is rejected.
    [[nodiscard]] actions enqueue(base::instant now, const admission_request& request);
    // Nobody wants the answer any more. A waiting request is dropped without an action.
    [[nodiscard]] actions on_cancel(base::instant now, std::uint64_t call);
    // A started call ended. A result of an unknown call is ignored.
    [[nodiscard]] actions on_result(base::instant now, std::uint64_t call,
                                    const call_result& result);
    // libcurl opened a socket for the call; the shell now has `open` sockets.
    [[nodiscard]] actions on_connection_opened(base::instant now, std::uint64_t call,
                                               std::uint32_t open);
    [[nodiscard]] actions on_connection_closed(base::instant now, std::uint32_t open);
    // A status poll's outcome. It can only take work away.
    [[nodiscard]] actions on_status(base::instant now, const target_status& status);
    [[nodiscard]] actions on_time(base::instant now);
    // Starts nothing more; rejects what waits, finishes what runs, closes the connections
    // and ends with one target_released. Use it for a handover and for a stop.
    [[nodiscard]] actions stop_sending(base::instant now);

    // When on_time() must be called, after the latest event; instant::max() if never.
    [[nodiscard]] base::instant next_wakeup() const;
    // Whether coordinators should send here: the target fact's `reachable`.
    [[nodiscard]] bool takes_work(base::instant now) const;
    [[nodiscard]] bool draining() const { return draining_; }
    [[nodiscard]] bool warm() const { return return_.warm(); }
    [[nodiscard]] std::uint64_t pace_milli_per_s() const
    {
        return return_.pace_milli_per_s();
    }
    // Running and waiting requests, for part_reply.queue_length.
    [[nodiscard]] std::uint32_t load() const;
    // Slots in use, those of cancelled and silent requests included.
    [[nodiscard]] std::uint32_t slots_in_use() const;
    // The cap for libcurl: the budget without the given-up connections.
    [[nodiscard]] std::uint32_t connection_limit() const;
    [[nodiscard]] std::uint32_t connections_counted() const { return ledger_.total(); }
    // Recent service time of good responses, for part_reply.service_time_ms.
    [[nodiscard]] base::duration service_time() const;

private:
    struct running_call
    {
        base::instant started;
        base::instant deadline;
        // Asked for a new connection that is not open yet; if an idle one is closed
        // first.
        bool opening = false;
        bool replaces_idle = false;
        // Overdue: the connection may be silent and is not used again.
        bool suspect = false;
        // Cancelled by the coordinator, but kept to learn whether its connection is
        // silent.
        bool unwanted = false;
    };

    using queue_key = std::pair<base::instant, std::uint64_t>;

    void settle(base::instant now, actions& out);
    void watch_running(base::instant now, actions& out);
    void start_waiting(base::instant now, actions& out);
    void start(base::instant now, const admission_request& request, actions& out);
    void reject_hopeless(base::instant now, actions& out);
    void reject_all(reject_reason reason, std::string_view text, actions& out);
    void cancel_running(base::instant now, std::uint64_t call, bool timed_out,
                        actions& out);
    void release_call(base::instant now, const running_call& call, bool may_run_on);
    void end_opening(running_call& call);
    void learn(base::instant now, const running_call& call, const call_result& result);
    void on_response(base::instant now, const call_result& result, bool turned_cold);
    void on_no_response(base::instant now, const running_call& call);
    void turn_cold(base::instant now, bool restarted);
    void finish_stop(actions& out);
    [[nodiscard]] std::optional<reject_call>
    refusal(base::instant now, const admission_request& request) const;
    [[nodiscard]] bool may_start(base::instant now) const;
    [[nodiscard]] bool lease_too_short(base::instant now,
                                       const admission_request& request) const;
    [[nodiscard]] std::uint32_t idle_connections() const;
    [[nodiscard]] std::uint32_t slot_limit() const;
    [[nodiscard]] base::instant expected_start(base::instant now) const;
    [[nodiscard]] base::duration start_interval() const;
    [[nodiscard]] base::duration overdue_after() const;
    [[nodiscard]] base::duration least_run_time() const;
    [[nodiscard]] std::uint64_t capacity_milli_per_s() const;

    Limits limit_policy_;
    Return return_;
    owner_limits limits_;
    base::fence fence_;
    base::instant lease_end_;
    std::map<queue_key, admission_request> queue_;
    std::map<std::uint64_t, running_call> running_;
    // Until when the slots of ended calls stay in use.
    std::multiset<base::instant> kept_slots_;
    connection_ledger ledger_;
    cold_detector detector_;
    base::latency_window recent_;
    base::instant last_response_;
    // Calls without any response since the last response.
    int failures_ = 0;
    bool draining_ = false;
    // Unreachable by a poll or by its results: one request per probe interval is let
    // through, and a good result ends it.
    bool away_ = false;
    base::instant next_probe_;
    // The time of the latest event.
    base::instant settled_;
    bool stopping_ = false;
    bool closing_ = false;
    bool released_ = false;
};

} // namespace curranthoist::admission

#include "curranthoist/admission/target_admission_estimates.hpp"
#include "curranthoist/admission/target_admission_impl.hpp"

namespace curranthoist::admission {

// The instantiation that the entry process uses is compiled once.
extern template class target_admission<configured_limits, configured_return>;

} // namespace curranthoist::admission
