#pragma once

#include "curranthoist/controld/control_service.hpp"

#include <utility>
#include <variant>
#include <vector>

namespace curranthoist::controld {

template <replicated_log Log, class Session>
control_service<Log, Session>::control_service(ev::loop_ref loop, applied_state& machine,
                                               Log& log, members_source members)
    : machine_(machine)
    , log_(log)
    , members_(std::move(members))
    , controller_(machine.state())
    , api_(machine.state(), controller_)
    , timer_(loop)
    , flush_timer_(loop)
{
    machine_.set_handlers([this](const auto& result) { on_applied(result); },
                          [this] { controller_.on_state_replaced(); });
    timer_.set<control_service, &control_service::on_tick>(this);
    timer_.start(tick_s, tick_s);
    flush_timer_.set<control_service, &control_service::on_flush_timer>(this);
}

template <replicated_log Log, class Session>
control_service<Log, Session>::~control_service()
{
    machine_.set_handlers({}, {});
}

template <replicated_log Log, class Session>
bool control_service<Log, Session>::is_valid(const wire::hello& hello)
{
    return hello.protocol() == wire::protocol_version &&
           hello.sender() == wire::role::entry && hello.id() != nullptr &&
           hello.id()->size() > 0 && hello.incarnation() != 0;
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::on_entry(std::unique_ptr<Session> session,
                                             const wire::hello& hello)
{
    if (!is_valid(hello)) {
        log_lines_.warn("closed a session because its hello is not of an entry VM of "
                        "this protocol version");
        return;
    }
    const control::session_number number = ++last_session_;
    session->set_handlers(
        [this, number](const wire::envelope& message) {
            on_session_message(number, message);
        },
        [this, number](const std::string& reason) { close_session(number, reason); });
    sessions_[number] = session_entry{std::move(session), clock_.now()};
    log_lines_.info("VM " + hello.id()->str() + " opened session " +
                    std::to_string(number));
    controller_.on_session_opened(number, hello, now());
    flush();
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::on_session_message(control::session_number session,
                                                       const wire::envelope& message)
{
    sessions_.at(session).heard = clock_.now();
    if (!controller_.on_message(session, message, now())) {
        close_session(session, "the VM sent a message that has no place in a session");
    }
    flush();
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::close_session(control::session_number session,
                                                  const std::string& reason)
{
    log_lines_.info("session " + std::to_string(session) + " closed: " + reason);
    controller_.on_session_closed(session);
    sessions_.erase(session);
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::close_silent_sessions()
{
    std::vector<control::session_number> silent;
    for (const auto& [number, one] : sessions_) {
        if (clock_.now() - one.heard >= silence_limit) {
            silent.push_back(number);
        }
    }
    for (const control::session_number number : silent) {
        close_session(number,
                      "no message for " + std::to_string(silence_limit.count()) + " ms");
    }
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::on_leadership(bool is_leader)
{
    if (is_leader) {
        controller_.on_leadership_gained(now());
    }
    else {
        controller_.on_leadership_lost();
    }
    flush_later();
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    const members_view members = members_();
    std::string hint;
    for (const member_view& one : members.members) {
        if (one.name == members.leader) {
            hint = one.peer_address;
        }
    }
    controller_.set_leader_hint(std::move(hint));
    close_silent_sessions();
    controller_.on_time(now());
    for (const http::responder& overdue : confirms_.take_overdue(clock_.now())) {
        respond(overdue, operator_api::confirm_unknown());
    }
    if (on_tick_) {
        on_tick_();
    }
    flush();
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::on_applied(const control::apply_result& result)
{
    controller_.on_applied(result, now());
    if (const auto* intent = std::get_if<control::intent_result>(&result)) {
        answer(intent->id, operator_api::confirm_response(*intent));
    }
    flush_later();
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::answer(const base::intent_id& id,
                                           const operator_response& response)
{
    for (const http::responder& one : confirms_.take(id)) {
        respond(one, response);
    }
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::propose(std::vector<std::uint8_t> command)
{
    log_.propose(std::move(command), [](auto /*outcome*/, base::log_index) {});
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::flush_later()
{
    if (!flush_timer_.is_active()) {
        flush_timer_.start(0.0);
    }
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::on_flush_timer(ev::timer& /*watcher*/, int /*events*/)
{
    flush();
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::flush()
{
    control::controller_output output = controller_.take_output();
    for (const std::string& line : output.log_lines) {
        log_lines_.info(line);
    }
    for (control::session_message& message : output.messages) {
        const auto session = sessions_.find(message.session);
        if (session != sessions_.end()) {
            session->second.connection->send_frame(std::move(message.frame));
        }
    }
    for (std::vector<std::uint8_t>& command : output.proposals) {
        propose(std::move(command));
    }
    if (output.confirm_read) {
        log_.confirm_read([this, round = *output.confirm_read](bool confirmed) {
            controller_.on_read_confirmed(round, confirmed, now());
            flush();
        });
    }
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::on_request(const http::caller_request& request,
                                               http::responder answer)
{
    if (request.path == "/metrics" && request.method == "GET") {
        answer.respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                        .body = metrics()});
        return;
    }
    const operator_result result = api_.handle(request.method, request.path, request.body,
                                               members_(), wall_clock_.now());
    if (result.response) {
        respond(answer, *result.response);
        return;
    }
    propose_intent(result, std::move(answer));
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::propose_intent(const operator_result& result,
                                                   http::responder answer)
{
    if (!confirms_.add(result.awaited, answer, clock_.now())) {
        respond(answer, operator_api::confirm_unknown());
        return;
    }
    log_.propose(result.proposal,
                 [this, id = result.awaited](auto outcome, base::log_index) {
                     // An applied command has been answered by on_applied().
                     if (outcome != decltype(outcome)::applied) {
                         this->answer(id, operator_api::confirm_unknown());
                     }
                 });
}

template <replicated_log Log, class Session>
void control_service<Log, Session>::respond(const http::responder& answer,
                                            const operator_response& response)
{
    http::caller_response reply;
    reply.status = response.status;
    reply.body = response.body + "\n";
    if (!response.location.empty()) {
        reply.headers["Location"] = response.location;
    }
    answer.respond(std::move(reply));
}

template <replicated_log Log, class Session>
std::string control_service<Log, Session>::metrics()
{
    const control::cluster_state& state = machine_.state();
    const auto set = [this](const char* name, const char* help, std::uint64_t value) {
        counters_.gauge_named(name, help).set(static_cast<std::int64_t>(value));
    };
    set("curranthoist_control_leader", "1 on the leader of the replicated log",
        controller_.is_leader() ? 1 : 0);
    set("curranthoist_control_sessions", "Entry VMs' sessions", sessions_.size());
    set("curranthoist_control_revision", "Revision of the configuration here",
        state.current().number.value());
    set("curranthoist_control_applied_index", "Last applied log index",
        state.applied_index().value());
    set("curranthoist_control_claims", "Claims of request ids", state.claims().size());
    set("curranthoist_control_claim_bytes", "Bytes of responses kept with claims",
        state.claims().body_bytes());
    return counters_.prometheus_text();
}

} // namespace curranthoist::controld
