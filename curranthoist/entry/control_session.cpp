#include "curranthoist/entry/control_session.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/control/configuration_delta.hpp"

#include <utility>

namespace curranthoist::entry {

namespace {

constexpr base::duration tick_interval{50};

wire::hello_message hello_of(const session_identity& identity)
{
    wire::hello_message message;
    message.protocol = wire::protocol_version;
    message.sender = wire::role::entry;
    message.id = identity.vm.str();
    message.zone = identity.zone.str();
    message.incarnation = identity.run.value();
    return message;
}

} // namespace

control_session::control_session(ev::loop_ref loop, session_identity identity,
                                 std::vector<base::endpoint> addresses,
                                 base::counter_registry& metrics, handlers on)
    : loop_(loop)
    , identity_(std::move(identity))
    , addresses_(std::move(addresses))
    , on_(std::move(on))
    , reconnects_(metrics.counter_named("curranthoist_control_dials_total",
                                        "Control addresses that were dialled"))
    , granted_(metrics.counter_named("curranthoist_lease_grants_total",
                                     "Heartbeats that were answered with a lease"))
    , tick_(loop)
{
    tick_.set<control_session, &control_session::on_tick>(this);
}

void control_session::start()
{
    dial_next();
    tick_.start(tick_interval.seconds(), tick_interval.seconds());
}

void control_session::set_stopping()
{
    stopping_ = true;
    heartbeat_due_ = clock_.now();
}

void control_session::release(const wire::released_target_message& released)
{
    facts_.remove(base::target_id(released.target));
    released_[base::target_id(released.target)] = {released, 0, std::nullopt};
    heartbeat_due_ = clock_.now();
}

bool control_session::release_is_known(const base::target_id& target) const
{
    const auto found = released_.find(target);
    return found != released_.end() && found->second.answered &&
           clock_.now() >= *found->second.answered + release_settled;
}

void control_session::note_answered_releases(std::uint64_t sequence)
{
    for (auto& [target, released] : released_) {
        if (!released.answered && released.carried_by != 0 &&
            released.carried_by <= sequence) {
            released.answered = clock_.now();
        }
    }
}

bool control_session::claim(wire::claim_request_message request, claim_callback callback)
{
    if (!dialer_ || !dialer_->is_connected() || leaving_) {
        return false;
    }
    request.incarnation = identity_.run.value();
    claims_.add_claim(request, std::move(callback));
    return dialer_->send(std::move(request));
}

void control_session::record(wire::claim_outcome_message outcome,
                             record_callback callback)
{
    outcome.incarnation = identity_.run.value();
    claims_.add_outcome(outcome, std::move(callback));
    if (dialer_) {
        dialer_->send(std::move(outcome));
    }
}

void control_session::dial(const base::endpoint& address)
{
    leaving_ = false;
    dialled_at_ = clock_.now();
    reconnects_.add();
    dialer_ = std::make_unique<wire::peer_dialer>(
        loop_, address, [this] { on_connect(); },
        [this](const wire::envelope& message) { on_message(message); },
        [this](const std::string& reason) { on_close(reason); });
}

void control_session::dial_next()
{
    if (hint_) {
        const base::endpoint address = *std::exchange(hint_, std::nullopt);
        dial(address);
        return;
    }
    const base::endpoint address = addresses_[next_address_];
    next_address_ = (next_address_ + 1) % addresses_.size();
    dial(address);
}

void control_session::on_connect()
{
    log_.info("connected to control process at " + dialer_->remote().str());
    lease_.on_session_opened();
    facts_.send_all();
    roster_sequence_ = 0;
    // Another leader must learn of the releases itself.
    for (auto& [target, released] : released_) {
        released.carried_by = 0;
        released.answered.reset();
    }
    dialer_->send(hello_of(identity_));
    send_heartbeat();
}

void control_session::on_close(const std::string& reason)
{
    leave("connection closed: " + reason);
}

void control_session::leave(const std::string& reason)
{
    if (!leaving_) {
        leaving_ = true;
        log_.warn("leaving control process at " + dialer_->remote().str() + ": " +
                  reason);
        claims_.on_disconnected();
    }
}

void control_session::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    const base::instant now = clock_.now();
    if (!dialer_->is_connected() && now > dialled_at_ + connect_limit) {
        leaving_ = true;
    }
    const std::optional<base::instant> waiting = lease_.oldest_unanswered();
    if (dialer_->is_connected() && waiting && now > *waiting + answer_limit) {
        leave("answer overdue");
    }
    if (leaving_) {
        dial_next();
        return;
    }
    if (dialer_->is_connected() && now >= heartbeat_due_) {
        send_heartbeat();
    }
}

void control_session::send_heartbeat()
{
    const base::instant now = clock_.now();
    heartbeat_due_ = now + heartbeat_interval;
    wire::heartbeat_message message;
    message.sequence = lease_.on_heartbeat_sent(now);
    message.applied_revision = configuration_.number.value();
    message.roster_sequence = roster_sequence_;
    message.stopping = stopping_;
    for (auto& [target, released] : released_) {
        message.released.push_back(
            std::make_unique<wire::released_target_message>(released.message));
        released.carried_by =
            released.carried_by != 0 ? released.carried_by : message.sequence;
    }
    facts_.fill(message);
    dialer_->send(std::move(message));
}

void control_session::on_message(const wire::envelope& message)
{
    if (leaving_) {
        return;
    }
    switch (message.body_type()) {
    case wire::message::hello:
        on_hello(*message.body_as_hello());
        break;
    case wire::message::heartbeat_reply:
        on_reply(*message.body_as_heartbeat_reply());
        break;
    case wire::message::configuration_update:
        on_update(*message.body_as_configuration_update());
        break;
    case wire::message::configuration_delta:
        on_delta(*message.body_as_configuration_delta());
        break;
    case wire::message::roster_update:
        on_roster_update(*message.body_as_roster_update());
        break;
    case wire::message::claim_reply:
        if (claims_.on_reply(*message.body_as_claim_reply())) {
            wire::claim_outcome_message unused;
            unused.request_id = message.body_as_claim_reply()->request_id()->str();
            unused.attempt = message.body_as_claim_reply()->attempt();
            unused.result = wire::claim_result::not_run;
            record(std::move(unused), [](bool) {});
        }
        break;
    case wire::message::claim_outcome_ack:
        claims_.on_acknowledged(*message.body_as_claim_outcome_ack());
        break;
    default:
        leave("unexpected message");
        break;
    }
}

void control_session::on_hello(const wire::hello& message)
{
    if (message.sender() != wire::role::control ||
        message.protocol() != wire::protocol_version) {
        leave("peer is not a control process of this protocol version");
    }
}

void control_session::on_reply(const wire::heartbeat_reply& message)
{
    if (message.not_leader()) {
        follow_hint(message);
        return;
    }
    if (!lease_.on_reply(message.sequence(), message.granted(),
                         base::revision(message.revision()))) {
        return;
    }
    facts_.on_answered(message.sequence());
    note_answered_releases(message.sequence());
    if (message.need_full_facts()) {
        facts_.send_all();
    }
    if (message.granted()) {
        granted_.add();
    }
    on_.on_lease();
}

void control_session::follow_hint(const wire::heartbeat_reply& message)
{
    const std::string named =
        message.leader() == nullptr ? std::string() : message.leader()->str();
    hint_ = base::endpoint::parse(named);
    if (hint_ && *hint_ == dialer_->remote()) {
        hint_.reset();
    }
    leave(hint_ ? "not the leader, which is at " + named : "not the leader");
}

void control_session::on_update(const wire::configuration_update& message)
{
    if (message.value() == nullptr ||
        message.value()->revision() <= configuration_.number.value()) {
        return;
    }
    try {
        wire::configuration_message unpacked;
        message.value()->UnPackTo(&unpacked);
        configuration_ = control::from_message(unpacked);
    }
    catch (const base::findings_error& error) {
        leave("configuration can't be read: " + std::string(error.what()));
        return;
    }
    on_revision_applied();
}

void control_session::on_delta(const wire::configuration_delta& message)
{
    // Without the base it is ignored; the leader learns of that by the applied revision
    // in the next heartbeats and sends what is missing.
    if (message.base() != configuration_.number.value()) {
        return;
    }
    try {
        wire::configuration_delta_message unpacked;
        message.UnPackTo(&unpacked);
        control::apply(configuration_, control::from_message(unpacked));
    }
    catch (const base::findings_error& error) {
        leave("configuration delta can't be read: " + std::string(error.what()));
        return;
    }
    on_revision_applied();
}

void control_session::on_revision_applied()
{
    log_.info("applied revision " + std::to_string(configuration_.number.value()));
    forget_confirmed_releases();
    heartbeat_due_ = clock_.now();
    on_.on_configuration();
    on_.on_lease();
}

void control_session::forget_confirmed_releases()
{
    std::erase_if(released_, [this](const auto& entry) {
        const auto found = configuration_.assignments.find(entry.first);
        return found == configuration_.assignments.end() ||
               found->second.number.value() != entry.second.message.fence;
    });
}

void control_session::on_roster_update(const wire::roster_update& message)
{
    if (!message.full() && message.sequence() <= roster_sequence_) {
        return;
    }
    roster_sequence_ = message.sequence();
    on_.on_roster(message);
}

} // namespace curranthoist::entry
