#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/control/controller.hpp"
#include "curranthoist/controld/applied_state.hpp"
#include "curranthoist/controld/operator_api.hpp"
#include "curranthoist/controld/pending_confirms.hpp"
#include "curranthoist/controld/replicated_log.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/responder.hpp"

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace curranthoist::controld {

// Connects the controller and the operators' interface with the log, the entry VMs'
// sessions and the loop. `Session` is a connection with send_frame() and set_handlers(),
// such as consensus::peer_session.
//
// The state and the log must outlive it. The log's leadership changes, new sessions and
// HTTP requests are passed in by the program.
template <replicated_log Log, class Session>
class control_service
{
public:
    using members_source = std::function<members_view()>;

    control_service(ev::loop_ref loop, applied_state& machine, Log& log,
                    members_source members);
    ~control_service();
    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;

    // A VM connected and sent `hello`, which is valid during the call.
    void on_entry(std::unique_ptr<Session> session, const wire::hello& hello);
    void on_leadership(bool is_leader);
    void on_request(const http::caller_request& request, http::responder answer);
    // Called on each tick, for duties that belong to one kind of log.
    void set_tick_handler(std::function<void()> handler)
    {
        on_tick_ = std::move(handler);
    }
    // Proposes a command of the log's host, such as member_replaced.
    void propose(std::vector<std::uint8_t> command);

    [[nodiscard]] const control::controller& leader() const { return controller_; }

private:
    // A session without any message for this long is closed: its VM sends a heartbeat
    // every 500 ms, so the connection has gone silent.
    static constexpr base::duration silence_limit{5000};
    static constexpr double tick_s = 0.1;

    struct session_entry
    {
        std::unique_ptr<Session> connection;
        base::instant heard;
    };

    [[nodiscard]] control::event_time now() const
    {
        return {clock_.now(), wall_clock_.now()};
    }
    static bool is_valid(const wire::hello& hello);
    void on_tick(ev::timer& watcher, int events);
    void on_session_message(control::session_number session,
                            const wire::envelope& message);
    void close_session(control::session_number session, const std::string& reason);
    void close_silent_sessions();
    void on_applied(const control::apply_result& result);
    void answer(const base::intent_id& id, const operator_response& response);
    // Does what the controller wants; never call it from within the log.
    void flush();
    // The same in the next turn of the loop.
    void flush_later();
    void on_flush_timer(ev::timer& watcher, int events);
    void propose_intent(const operator_result& result, http::responder answer);
    static void respond(const http::responder& answer, const operator_response& response);
    std::string metrics();

    base::logger log_lines_{"control"};
    base::monotonic_clock clock_;
    base::wall_clock wall_clock_;
    applied_state& machine_;
    Log& log_;
    members_source members_;
    control::controller controller_;
    operator_api api_;
    base::counter_registry counters_;
    std::map<control::session_number, session_entry> sessions_;
    control::session_number last_session_ = 0;
    pending_confirms confirms_;
    std::function<void()> on_tick_;
    ev::timer timer_;
    ev::timer flush_timer_;
};

} // namespace curranthoist::controld

#include "curranthoist/controld/internal/control_service.hpp"
