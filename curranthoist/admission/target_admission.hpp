#pragma once

#include "curranthoist/admission/call_result.hpp"
#include "curranthoist/admission/cold_detector.hpp"
#include "curranthoist/admission/configured_limits.hpp"
#include "curranthoist/admission/configured_warmup.hpp"
#include "curranthoist/admission/connection_tracker.hpp"
#include "curranthoist/admission/target_action.hpp"
#include "curranthoist/admission/target_status.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace curranthoist::admission {

// One request for the target. `call` is unique within one target_admission.
struct admission_request
{
    std::uint64_t call = 0;
    base::fence fence;
    base::instant deadline;
    // True for an order. An order never reuses an idle connection, because libcurl
    // resends a request by itself if a reused connection fails.
    bool fresh_connection = false;
};

struct target_admission_options
{
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    base::fence fence;
    // The warm-up state that the previous owner reached, from the assignment. The rate is
    // in requests per 1,000 s; 0 if unknown.
    bool warm = false;
    std::uint64_t pace_milli_per_s = 0;
    // The warm service time of other targets of the service; 0 if it is unknown.
    base::duration expected_service_time;
};

// Admission control of one owner for one target. It decides when requests start, whether
// they use a new connection, and which requests are rejected. It does no I/O. The owner's
// shell executes the actions that every event returns, in their order, and calls
// on_time() at next_wakeup():
//
//     target_admission<> admission(options);
//     admission.on_lease(lease_end);
//     run(admission.enqueue(now, {call, fence, deadline}));
//     run(admission.on_result(now, call, result));
//
// Connections: the shell has one libcurl multi handle per target, limited to
// connection_limit() connections. It reports every socket that libcurl opens (with the
// call that the socket is opened for) or closes, with the number of sockets then open. A
// call on a new connection at the limit makes libcurl close its oldest idle connection
// first. Every started call ends by one on_result() or by one cancel_call action, never
// by both. An event that occurs during the execution of actions (a cancelled call closes
// its socket) is reported after the last action.
template <limit_policy Limits = configured_limits,
          warmup_policy Warmup = configured_warmup>
class target_admission
{
public:
    using actions = std::vector<target_action>;

    // The target may still run a cancelled request for this long, so its slot stays in
    // use.
    static constexpr base::duration cancelled_slot_reservation{20};
    // A request is overdue after 3 times the recent p99 of the service time, but not
    // before min_overdue_delay. default_overdue_delay applies while there is no recent
    // p99.
    static constexpr base::duration min_overdue_delay{100};
    static constexpr base::duration default_overdue_delay{500};
    // The interval at which an unavailable target receives a single probe request.
    static constexpr base::duration probe_interval{2000};
    // The number of consecutive calls without a response after which the target counts as
    // unreachable.
    static constexpr int failures_until_unavailable = 3;
    // A lease that ends sooner than this leaves no time for a request.
    static constexpr base::duration min_remaining_lease{5};
    // A request starts only if the warm service time is left before its deadline. The
    // required time is limited to this value. Otherwise a wrong estimate could reject all
    // requests and would then never be corrected.
    static constexpr base::duration max_required_run_time{20};

    explicit target_admission(const target_admission_options& options, Limits limits = {},
                              Warmup warmup = {});

    // Sets the end of the VM lease. A later call may move the end in either direction.
    void on_lease(base::instant end) { lease_end_ = end; }
    // Sets the target's declared limits. They apply to requests that start from now on.
    void set_limits(std::uint32_t slots, std::uint32_t connections);

    // A part or order arrived. The request starts, waits in the queue or is rejected.
    [[nodiscard]] actions enqueue(base::instant now, const admission_request& request);
    // The result of the call is no longer needed. A waiting request is removed without an
    // action.
    [[nodiscard]] actions on_cancel(base::instant now, std::uint64_t call);
    // A started call ended. The result of an unknown call is ignored.
    [[nodiscard]] actions on_result(base::instant now, std::uint64_t call,
                                    const call_result& result);
    // libcurl opened a socket for the call. The shell now has `open` sockets.
    [[nodiscard]] actions on_connection_opened(base::instant now, std::uint64_t call,
                                               std::uint32_t open);
    // libcurl closed a socket. The shell now has `open` sockets.
    [[nodiscard]] actions on_connection_closed(base::instant now, std::uint32_t open);
    // A status poll ended. It can only withhold requests from the target.
    [[nodiscard]] actions on_status(base::instant now, const target_status& status);
    // The time next_wakeup() was reached.
    [[nodiscard]] actions on_time(base::instant now);
    // Starts the release of the target, for a handover or a stop of the process. Rejects
    // the waiting requests and all later ones, lets the running calls finish, closes the
    // connections and ends with one target_released action.
    [[nodiscard]] actions stop_sending(base::instant now);

    // The time at which on_time() must be called if no event occurs before;
    // instant::max() if no call is needed.
    [[nodiscard]] base::instant next_wakeup() const;
    // Returns true if coordinators may send requests for the target to this owner.
    // Becomes `reachable` of the target report.
    [[nodiscard]] bool accepts_requests(base::instant now) const;
    [[nodiscard]] bool draining() const { return draining_; }
    [[nodiscard]] bool warm() const { return warmup_.warm(); }
    [[nodiscard]] std::uint64_t pace_milli_per_s() const
    {
        return warmup_.pace_milli_per_s();
    }
    // The number of running and waiting requests, for part_reply.queue_length.
    [[nodiscard]] std::uint32_t load() const;
    // The number of slots in use, including those of cancelled requests and of requests
    // on unresponsive connections.
    [[nodiscard]] std::uint32_t slots_in_use() const;
    // The connection limit for libcurl: the owner's limit less the abandoned connections.
    [[nodiscard]] std::uint32_t connection_limit() const;
    // The number of connections that count against the owner's limit.
    [[nodiscard]] std::uint32_t connections_counted() const
    {
        return connections_.total();
    }
    // The recent median service time of successful responses, for
    // part_reply.service_time_ms.
    [[nodiscard]] base::duration service_time() const;

private:
    struct running_call
    {
        base::instant started;
        base::instant deadline;
        // `opening`: the call has requested a new connection, which is not open yet.
        // `replaces_idle`: an idle connection is closed first.
        bool opening = false;
        bool replaces_idle = false;
        // The call is overdue: its connection may be unresponsive and is not reused.
        bool suspect = false;
        // The coordinator has cancelled the call, but the call continues, to find out
        // whether its connection is unresponsive.
        bool cancel_requested = false;
    };

    using queue_key = std::pair<base::instant, std::uint64_t>;

    void update(base::instant now, actions& out);
    void check_running_calls(base::instant now, actions& out);
    void start_queued(base::instant now, actions& out);
    void start(base::instant now, const admission_request& request, actions& out);
    void reject_unschedulable(base::instant now, actions& out);
    void reject_all(reject_reason reason, std::string_view text, actions& out);
    void cancel_running(base::instant now, std::uint64_t call, bool timed_out,
                        actions& out);
    void release_call(base::instant now, const running_call& call, bool may_still_run);
    void end_opening(running_call& call);
    void record_result(base::instant now, const running_call& call,
                       const call_result& result);
    void on_response(base::instant now, const call_result& result, bool turned_cold);
    void on_no_response(base::instant now, const running_call& call);
    void turn_cold(base::instant now, bool restarted);
    void finish_stop(actions& out);
    [[nodiscard]] std::optional<reject_call>
    rejection(base::instant now, const admission_request& request) const;
    [[nodiscard]] bool may_start(base::instant now) const;
    [[nodiscard]] bool lease_too_short(base::instant now,
                                       const admission_request& request) const;
    [[nodiscard]] std::uint32_t idle_connections() const;
    [[nodiscard]] std::uint32_t slot_limit() const;
    [[nodiscard]] base::instant expected_start(base::instant now) const;
    [[nodiscard]] base::duration start_interval() const;
    [[nodiscard]] base::duration overdue_delay() const;
    [[nodiscard]] base::duration min_run_time() const;
    [[nodiscard]] std::uint64_t capacity_milli_per_s() const;

    Limits limit_policy_;
    Warmup warmup_;
    owner_limits limits_;
    base::fence fence_;
    base::instant lease_end_;
    std::map<queue_key, admission_request> queue_;
    std::map<std::uint64_t, running_call> running_;
    // The times until which the slots of ended calls stay in use.
    std::multiset<base::instant> reserved_slots_;
    connection_tracker connections_;
    cold_detector detector_;
    base::latency_window recent_service_times_;
    base::instant last_response_;
    // The number of calls that ended without a response since the last response.
    int consecutive_failures_ = 0;
    bool draining_ = false;
    // A status poll or the results of calls show that the target is unreachable. One
    // request per probe interval is sent until one succeeds.
    bool unavailable_ = false;
    base::instant next_probe_;
    // The time of the latest event.
    base::instant last_event_time_;
    bool stopping_ = false;
    bool close_requested_ = false;
    bool released_ = false;
};

} // namespace curranthoist::admission

#include "curranthoist/admission/target_admission_estimates.hpp"
#include "curranthoist/admission/target_admission_impl.hpp"

namespace curranthoist::admission {

// The instantiation that the entry process uses is compiled in target_admission.cpp.
extern template class target_admission<configured_limits, configured_warmup>;

} // namespace curranthoist::admission
