#include "curranthoist/control/controller.hpp"

#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::control {

namespace {

std::string text_of(const flatbuffers::String* text)
{
    return text == nullptr ? std::string() : text->str();
}

wire::claim_answer to_wire(claim_answer answer)
{
    switch (answer) {
    case claim_answer::granted:
        return wire::claim_answer::granted;
    case claim_answer::ran:
        return wire::claim_answer::ran;
    case claim_answer::pending:
        return wire::claim_answer::pending;
    case claim_answer::unknown:
        return wire::claim_answer::unknown;
    case claim_answer::expired:
        return wire::claim_answer::expired;
    case claim_answer::too_new:
        return wire::claim_answer::too_new;
    case claim_answer::refused:
        break;
    }
    return wire::claim_answer::unavailable;
}

claim_status status_of(wire::claim_result result)
{
    switch (result) {
    case wire::claim_result::ran:
        return claim_status::ran;
    case wire::claim_result::not_run:
        return claim_status::freed;
    case wire::claim_result::unknown:
        break;
    }
    return claim_status::unknown;
}

} // namespace

controller::controller(const cluster_state& state, controller_rules rules)
    : state_(state)
    , leases_(rules)
{}

void controller::on_session_opened(session_number session, const wire::hello& hello,
                                   event_time now)
{
    session_state opened;
    opened.vm = base::vm_id(text_of(hello.id()));
    opened.run = base::incarnation(hello.incarnation());
    on_session_closed(session);
    sessions_of_[{opened.vm, opened.run}].insert(session);
    sessions_[session] = std::move(opened);
    roster_due_ = true;
    refresh(now);
}

void controller::on_session_closed(session_number session)
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    const auto peers = sessions_of_.find({found->second.vm, found->second.run});
    peers->second.erase(session);
    if (peers->second.empty()) {
        sessions_of_.erase(peers);
    }
    // Another process of the VM may have waited for the end of this session.
    checks_.check_now(found->second.vm);
    sessions_.erase(found);
    leases_.on_session_closed(session);
}

bool controller::on_message(session_number session, const wire::envelope& message,
                            event_time now)
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return false;
    }
    switch (message.body_type()) {
    case wire::message::heartbeat:
        on_heartbeat(session, found->second, *message.body_as_heartbeat(), now);
        return true;
    case wire::message::claim_request:
        on_claim_request(session, found->second, *message.body_as_claim_request(), now);
        return true;
    case wire::message::claim_outcome:
        on_claim_outcome(found->second, *message.body_as_claim_outcome(), now);
        return true;
    default:
        return false;
    }
}

void controller::on_heartbeat(session_number session, session_state& from,
                              const wire::heartbeat& message, event_time now)
{
    if (!leader_) {
        reply_heartbeat(session, message.sequence(), false);
        return;
    }
    leases_.on_heartbeat(from.vm, from.run, message.stopping(),
                         base::revision(message.applied_revision()), session,
                         message.sequence(), now.monotonic);
    if (ready_ && is_open(from)) {
        roster_due_ = roster_due_ || (message.full_facts() && !from.full_facts_seen);
        from.full_facts_seen = from.full_facts_seen || message.full_facts();
        roster_.merge(from.vm, message, state_.current());
        take_released(from, message);
    }
    note_applied_revision(from, base::revision(message.applied_revision()), now);
    check_vm(from.vm, now);
    request_round(now);
}

void controller::take_released(const session_state& from, const wire::heartbeat& message)
{
    if (message.released() == nullptr) {
        return;
    }
    for (const wire::released_target* one : *message.released()) {
        const base::target_id target(text_of(one->target()));
        const auto held = state_.current().assignments.find(target);
        const bool awaited = held != state_.current().assignments.end() &&
                             held->second.owner == from.vm &&
                             held->second.number == base::fence(one->fence()) &&
                             held->second.phase == assignment_phase::releasing;
        if (awaited) {
            assignments_.on_released(
                target, {held->second.number, one->warm(), one->pace_milli_per_s()});
            assignments_due_ = true;
        }
    }
}

void controller::on_claim_request(session_number session, const session_state& from,
                                  const wire::claim_request& message, event_time now)
{
    const bool leased = is_ready() && is_open(from) && !leases_.is_closing(from.vm) &&
                        leases_.is_heard(from.vm, from.run, now.monotonic) &&
                        message.incarnation() == from.run.value();
    if (!leased) {
        wire::claim_reply_message reply;
        reply.request_id = text_of(message.request_id());
        reply.attempt = message.attempt();
        reply.answer = wire::claim_answer::unavailable;
        output_.send(session, std::move(reply));
        return;
    }
    encoded::claim_message command;
    command.request_id = text_of(message.request_id());
    command.vm = from.vm.str();
    command.incarnation = from.run.value();
    command.attempt = message.attempt();
    output_.proposals.push_back(encode_command(now.wall, std::move(command)));
}

void controller::on_claim_outcome(const session_state& from,
                                  const wire::claim_outcome& message, event_time now)
{
    if (!is_ready()) {
        return;
    }
    encoded::record_claim_message command;
    command.request_id = text_of(message.request_id());
    command.vm = from.vm.str();
    command.incarnation = message.incarnation();
    command.attempt = message.attempt();
    command.result = status_of(message.result());
    if (message.body() != nullptr) {
        command.body_bytes = message.body()->size();
        if (command.body_bytes <= claim_store::max_kept_body_bytes) {
            command.body.assign(message.body()->begin(), message.body()->end());
        }
        else {
            log("the response of request " + command.request_id + " has " +
                std::to_string(command.body_bytes) +
                " bytes and is not kept for later claims of its id");
        }
    }
    output_.proposals.push_back(encode_command(now.wall, std::move(command)));
}

void controller::reply_heartbeat(session_number session, std::uint64_t sequence,
                                 bool granted)
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    wire::heartbeat_reply_message reply;
    reply.sequence = sequence;
    reply.granted = granted;
    reply.revision = state_.current().number.value();
    reply.not_leader = !leader_;
    reply.leader = leader_ ? std::string() : leader_hint_;
    reply.need_full_facts = leader_ && !found->second.full_facts_seen;
    output_.send(session, std::move(reply));
}

void controller::on_leadership_gained(event_time now)
{
    leader_ = true;
    ready_ = false;
    open_round_.reset();
    // Decisions of an earlier leadership rest on heartbeats that are too old now.
    output_.proposals.clear();
    leases_.reset(now.monotonic, state_.current().number);
    assignments_.clear();
    roster_.clear();
    known_since_.clear();
    proposed_.clear();
    views_.clear();
    expected_.clear();
    checks_.clear();
    vms_due_ = true;
    roster_due_ = true;
    known_revision_ = state_.current().number;
    for (auto& [session, one] : sessions_) {
        one = session_state{one.vm, one.run, 0, false, {}, {}, false};
    }
    log("this member is the leader and waits until a quorum confirms it");
    request_round(now);
}

void controller::on_leadership_lost()
{
    if (leader_) {
        log("this member is not the leader any more");
    }
    leader_ = false;
    ready_ = false;
    open_round_.reset();
    output_.proposals.clear();
}

void controller::on_read_confirmed(std::uint64_t round, bool confirmed, event_time now)
{
    if (!leader_ || open_round_ != round) {
        return;
    }
    open_round_.reset();
    if (confirmed && !ready_) {
        ready_ = true;
        leases_.on_ready(state_.current().number);
        feed_.reset(state_.current());
        vms_due_ = true;
        log("a quorum confirmed the leadership; revision " +
            std::to_string(state_.current().number.value()) + " is in force");
    }
    for (const auto& answer : leases_.finish_round(confirmed, state_, now.monotonic)) {
        reply_heartbeat(answer.session, answer.sequence, answer.granted);
    }
    refresh(now);
}

void controller::on_applied(const apply_result& result, event_time now)
{
    if (!leader_) {
        return;
    }
    if (state_.current().number > known_revision_) {
        known_revision_ = state_.current().number;
        leases_.on_revision(known_revision_, now.monotonic);
    }
    if (const auto* claim = std::get_if<claim_result>(&result)) {
        answer_claim(*claim);
    }
    else if (const auto* record = std::get_if<record_result>(&result)) {
        acknowledge(*record);
    }
    else if (const auto* process = std::get_if<incarnation_result>(&result)) {
        note_incarnation(*process);
    }
    else if (const auto* changed = std::get_if<assignments_result>(&result)) {
        proposed_.erase("assignments");
        assignments_due_ = true;
        for (const std::string& sentence : changed->changes) {
            log(sentence + " (revision " + std::to_string(known_revision_.value()) + ")");
        }
    }
    else if (!std::holds_alternative<malformed_result>(result)) {
        // An operator's intent, or a VM was removed.
        vms_due_ = true;
    }
    const bool claims_only = std::holds_alternative<claim_result>(result) ||
                             std::holds_alternative<record_result>(result);
    if (!claims_only) {
        refresh(now);
    }
}

void controller::answer_claim(const claim_result& result)
{
    const auto session = session_of(result.vm, result.run);
    if (!session) {
        return;
    }
    wire::claim_reply_message reply;
    reply.request_id = result.id.str();
    reply.attempt = result.attempt;
    reply.answer = to_wire(result.answer);
    reply.body = result.body;
    output_.send(*session, std::move(reply));
}

void controller::acknowledge(const record_result& result)
{
    const auto session = session_of(result.vm, result.run);
    if (!session) {
        return;
    }
    wire::claim_outcome_ack_message ack;
    ack.request_id = result.id.str();
    ack.attempt = result.attempt;
    ack.stored = result.stored;
    output_.send(*session, std::move(ack));
}

void controller::note_incarnation(const incarnation_result& result)
{
    const std::string name =
        "VM " + result.vm.str() + " incarnation " + std::to_string(result.run.value());
    proposed_.erase("open " + result.vm.str());
    checks_.check_now(result.vm);
    if (result.open) {
        leases_.on_opened(result.vm, state_.current().number);
        configuration_due_ = true;
        roster_due_ = true;
        log(name + " may hold a lease");
    }
    if (result.closed) {
        leases_.on_closed(result.vm);
        log("the lease of " + name + " ran out");
    }
    if (result.abandoned > 0) {
        log(std::to_string(result.abandoned) + " pending claims of VM " +
            result.vm.str() + " became unknown");
    }
}

controller_output controller::take_output()
{
    controller_output taken = std::move(output_);
    output_ = controller_output();
    return taken;
}

bool controller::is_open(const session_state& session) const
{
    return state_.open_incarnation(session.vm) == session.run;
}

bool controller::is_connected(const base::vm_id& vm) const
{
    const std::optional<base::incarnation> run = state_.open_incarnation(vm);
    return run && has_session(vm, *run);
}

std::optional<session_number> controller::session_of(const base::vm_id& vm,
                                                     base::incarnation run) const
{
    const auto found = sessions_of_.find({vm, run});
    if (found == sessions_of_.end()) {
        return std::nullopt;
    }
    // The latest session of the process: an older one may be a dead connection.
    return *found->second.rbegin();
}

} // namespace curranthoist::control
