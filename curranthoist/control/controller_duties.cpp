// What the leader does by itself, without a message: opening and closing VM processes,
// assigning targets, removing retired VMs, and pushing configuration and roster.

#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/control/controller.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace curranthoist::control {

namespace {

// A proposal without a result for this long counts as lost and is repeated.
constexpr base::duration proposal_limit{2000};
// A round without a result for this long counts as lost and another one is begun.
constexpr base::duration round_limit{1000};
// Roster changes are collected for this long, so that many reports make one message.
constexpr base::duration roster_interval{100};

bool is_in_service(const configuration& current, const vm_spec& spec)
{
    const auto zone = current.zones.find(spec.zone);
    return spec.in_service && zone != current.zones.end() && zone->second.in_service;
}

} // namespace

void controller::on_time(event_time now)
{
    if (!leader_) {
        return;
    }
    request_round(now);
    refresh(now);
    leases_.drop_old(state_, now.monotonic);
}

void controller::refresh(event_time now)
{
    if (!is_ready()) {
        return;
    }
    std::erase_if(known_since_, [this](const auto& entry) {
        return !state_.current().vms.contains(entry.first);
    });
    for (const auto& [vm, spec] : state_.current().vms) {
        known_since_.try_emplace(vm, now.monotonic);
    }
    update_processes(now);
    update_assignments(now);
    remove_retired_vms(now);
    push_configuration();
    push_roster(now);
}

bool controller::may_propose(const std::string& what, event_time now)
{
    const auto found = proposed_.find(what);
    if (found != proposed_.end() && now.monotonic - found->second < proposal_limit) {
        return false;
    }
    proposed_[what] = now.monotonic;
    return true;
}

void controller::request_round(event_time now)
{
    const bool lost = open_round_ && now.monotonic - round_started_ >= round_limit;
    if (lost) {
        for (const auto& answer : leases_.finish_round(false, state_, now.monotonic)) {
            reply_heartbeat(answer.session, answer.sequence, answer.granted);
        }
        open_round_.reset();
    }
    if (open_round_ || (ready_ && !leases_.wants_round())) {
        return;
    }
    leases_.begin_round();
    open_round_ = ++last_round_;
    round_started_ = now.monotonic;
    output_.confirm_read = open_round_;
}

void controller::update_processes(event_time now)
{
    for (const auto& [vm, spec] : state_.current().vms) {
        update_process(vm, now);
    }
    for (const auto& [vm, open] : state_.open_processes()) {
        if (!state_.current().vms.contains(vm)) {
            update_process(vm, now);
        }
    }
}

void controller::update_process(const base::vm_id& vm, event_time now)
{
    if (!is_ready()) {
        return;
    }
    const std::optional<base::incarnation> open = state_.open_incarnation(vm);
    if (open && leases_.is_expired(vm, *open, now.monotonic)) {
        close_process(vm, now);
        return;
    }
    const std::optional<base::incarnation> heard = leases_.heard_run(vm, now.monotonic);
    // A new process replaces an open one at once only if the old one is disconnected and
    // the VM owns nothing; the state checks the latter. Otherwise it waits for the lease.
    const bool blocked = open && has_session(vm, *open);
    if (!heard || open == heard || blocked || !state_.current().vms.contains(vm) ||
        !may_propose("open " + vm.str(), now)) {
        return;
    }
    encoded::open_incarnation_message command;
    command.vm = vm.str();
    command.incarnation = heard->value();
    output_.proposals.push_back(encode_command(now.wall, std::move(command)));
}

void controller::close_process(const base::vm_id& vm, event_time now)
{
    if (!leases_.may_close_again(vm, now.monotonic)) {
        return;
    }
    leases_.on_closing(vm, now.monotonic);
    const open_process& open = state_.open_processes().at(vm);
    encoded::close_incarnation_message command;
    command.vm = vm.str();
    command.incarnation = open.run.value();
    command.opened_at = open.opened_at.value();
    output_.proposals.push_back(encode_command(now.wall, std::move(command)));
}

bool controller::has_session(const base::vm_id& vm, base::incarnation run) const
{
    return session_of(vm, run).has_value();
}

bool controller::is_expected(const base::vm_id& vm, event_time now) const
{
    const auto known = known_since_.find(vm);
    const base::instant since = known == known_since_.end()
                                    ? leases_.elected()
                                    : std::max(known->second, leases_.elected());
    return now.monotonic - since < lease_controller::expiry_wait;
}

assignment_controller::vm_view controller::view_of(const base::vm_id& vm,
                                                   event_time now) const
{
    assignment_controller::vm_view view;
    const std::optional<base::incarnation> open = state_.open_incarnation(vm);
    view.open = open.has_value();
    const auto spec = state_.current().vms.find(vm);
    if (spec == state_.current().vms.end() ||
        !is_in_service(state_.current(), spec->second)) {
        return view;
    }
    const std::optional<base::incarnation> heard = leases_.heard_run(vm, now.monotonic);
    const bool stopping = heard && leases_.is_stopping(vm, *heard);
    view.usable = open && heard == open && !stopping && !leases_.is_closing(vm);
    view.may_keep = !stopping && (open || heard || is_expected(vm, now));
    return view;
}

void controller::update_assignments(event_time now)
{
    std::map<base::vm_id, assignment_controller::vm_view> views;
    bool expected = false;
    for (const auto& [vm, spec] : state_.current().vms) {
        const auto view = views[vm] = view_of(vm, now);
        expected = expected || (is_in_service(state_.current(), spec) && !view.usable &&
                                is_expected(vm, now));
    }
    for (const auto& [vm, open] : state_.open_processes()) {
        views.try_emplace(vm, view_of(vm, now));
    }
    const bool waiting = proposed_.contains("assignments") &&
                         now.monotonic - proposed_.at("assignments") < proposal_limit;
    if (waiting) {
        return;
    }
    encoded::change_assignments_message command;
    command.changes =
        assignments_.step({state_.current(), roster_, views, now.monotonic, expected});
    if (!command.changes.empty() && may_propose("assignments", now)) {
        output_.proposals.push_back(encode_command(now.wall, std::move(command)));
    }
}

void controller::remove_retired_vms(event_time now)
{
    for (const auto& [vm, spec] : state_.current().vms) {
        const auto owned = std::any_of(
            state_.current().assignments.begin(), state_.current().assignments.end(),
            [&vm = vm](const auto& entry) { return entry.second.owner == vm; });
        if (spec.in_service || owned || state_.open_incarnation(vm) ||
            leases_.heard_run(vm, now.monotonic) ||
            !may_propose("remove " + vm.str(), now)) {
            continue;
        }
        encoded::remove_vm_message command;
        command.vm = vm.str();
        output_.proposals.push_back(encode_command(now.wall, std::move(command)));
    }
    std::erase_if(proposed_, [&now](const auto& entry) {
        return now.monotonic - entry.second >= proposal_limit;
    });
}

void controller::push_configuration()
{
    std::vector<std::uint8_t> frame;
    for (auto& [session, one] : sessions_) {
        // Only the open process may learn of assignments: another process of the same VM
        // would take them for its own.
        const bool current = one.configuration_started &&
                             one.configuration_sent >= state_.current().number;
        if (current || !is_open(one)) {
            continue;
        }
        if (frame.empty()) {
            wire::configuration_update_message update;
            update.value = std::make_unique<wire::configuration_message>(
                to_message(state_.current()));
            frame = wire::encode_frame(std::move(update));
        }
        one.configuration_started = true;
        one.configuration_sent = state_.current().number;
        output_.messages.push_back({session, frame});
    }
}

void controller::push_roster(event_time now)
{
    // Right after a failover the roster is incomplete, and a full update would take facts
    // away that the VMs still have.
    const bool complete =
        std::all_of(sessions_.begin(), sessions_.end(), [this](const auto& entry) {
            return !is_open(entry.second) || entry.second.full_facts_seen;
        });
    const bool waited =
        now.monotonic - leases_.elected() >= lease_controller::expiry_wait;
    const bool all_here = std::all_of(
        state_.open_processes().begin(), state_.open_processes().end(),
        [this](const auto& entry) { return has_session(entry.first, entry.second.run); });
    if (now.monotonic - roster_pushed_ < roster_interval ||
        (!waited && !(complete && all_here))) {
        return;
    }
    roster_pushed_ = now.monotonic;
    for (auto& [session, one] : sessions_) {
        const bool current = one.roster_started && one.roster_sent == roster_.sequence();
        if (current || !is_open(one)) {
            continue;
        }
        output_.send(session, roster_.update(one.roster_sent, !one.roster_started));
        one.roster_started = true;
        one.roster_sent = roster_.sequence();
    }
}

} // namespace curranthoist::control
