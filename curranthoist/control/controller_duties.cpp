// What the leader does by itself, without a message: opening and closing VM processes,
// assigning targets, and removing retired VMs.

#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/controller.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace curranthoist::control {

namespace {

// A proposal without a result for this long counts as lost and is repeated.
constexpr base::duration proposal_limit{2000};
// A round without a result for this long counts as lost and another one is begun.
constexpr base::duration round_limit{1000};
// Heartbeats are collected for this long, so that one round answers many of them.
constexpr base::duration round_interval{50};
// A VM whose process is to be opened or closed is checked this often.
constexpr base::duration check_interval{100};
// Shards that targets report are looked at this often: a step looks at all targets.
constexpr base::duration placement_interval{1000};
// Forgotten processes are looked for this often.
constexpr base::duration drop_interval{1000};

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
    if (now.monotonic - old_dropped_ >= drop_interval) {
        old_dropped_ = now.monotonic;
        leases_.drop_old(state_, now.monotonic);
        std::erase_if(proposed_, [&now](const auto& entry) {
            return now.monotonic - entry.second >= proposal_limit;
        });
    }
}

void controller::refresh(event_time now)
{
    if (!is_ready()) {
        return;
    }
    if (vms_due_) {
        check_all_vms(now);
    }
    for (const base::vm_id& vm : checks_.take_due(now.monotonic)) {
        check_vm(vm, now);
    }
    update_assignments(now);
    remove_retired_vms(now);
    push_configuration(now);
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
    const bool early = now.monotonic - round_started_ < round_interval;
    if (open_round_ || (ready_ && (early || !leases_.wants_round()))) {
        return;
    }
    leases_.begin_round();
    open_round_ = ++last_round_;
    round_started_ = now.monotonic;
    output_.confirm_read = open_round_;
}

void controller::check_all_vms(event_time now)
{
    vms_due_ = false;
    assignments_due_ = true;
    retired_.clear();
    std::erase_if(known_since_, [this](const auto& entry) {
        return !state_.current().vms.contains(entry.first);
    });
    std::vector<base::vm_id> gone;
    for (const auto& [vm, view] : views_) {
        if (!state_.current().vms.contains(vm)) {
            gone.push_back(vm);
        }
    }
    for (const base::vm_id& vm : gone) {
        check_vm(vm, now);
    }
    for (const auto& [vm, spec] : state_.current().vms) {
        known_since_.try_emplace(vm, now.monotonic);
        if (!spec.in_service) {
            retired_.insert(vm);
        }
        check_vm(vm, now);
    }
    for (const auto& [vm, open] : state_.open_processes()) {
        check_vm(vm, now);
    }
}

// Brings what is known about one VM up to date.
void controller::check_vm(const base::vm_id& vm, event_time now)
{
    if (!is_ready()) {
        return;
    }
    update_process(vm, now);
    schedule_check(vm, now);
    const auto spec = state_.current().vms.find(vm);
    const bool known = spec != state_.current().vms.end();
    if (!known && !state_.open_incarnation(vm)) {
        assignments_due_ = views_.erase(vm) + expected_.erase(vm) > 0 || assignments_due_;
        return;
    }
    const assignment_controller::vm_view view = view_of(vm, now);
    const bool expected = known && is_in_service(state_.current(), spec->second) &&
                          !view.usable && is_expected(vm, now);
    const auto [seen, added] = views_.try_emplace(vm, view);
    if (added || seen->second != view || expected != expected_.contains(vm)) {
        assignments_due_ = true;
        seen->second = view;
        expected ? void(expected_.insert(vm)) : void(expected_.erase(vm));
    }
}

// The next time at which the passing of time alone changes what is known about the VM.
void controller::schedule_check(const base::vm_id& vm, event_time now)
{
    const std::optional<base::incarnation> open = state_.open_incarnation(vm);
    const std::optional<base::incarnation> heard = leases_.heard_run(vm, now.monotonic);
    const bool unopened = heard && heard != open && state_.current().vms.contains(vm);
    const bool unclosed = open && leases_.is_expired(vm, *open, now.monotonic);
    if (unopened || unclosed) {
        checks_.check_by(vm, now.monotonic + check_interval);
    }
    else if (open) {
        checks_.check_by(vm, leases_.expires_at(vm, *open));
    }
    if (heard) {
        checks_.check_by(vm, leases_.heard_until(vm, *heard));
    }
    if (is_expected(vm, now)) {
        checks_.check_by(vm, expected_until(vm));
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

base::instant controller::expected_until(const base::vm_id& vm) const
{
    const auto known = known_since_.find(vm);
    const base::instant since = known == known_since_.end()
                                    ? leases_.elected()
                                    : std::max(known->second, leases_.elected());
    return since + lease_controller::expiry_wait;
}

bool controller::is_expected(const base::vm_id& vm, event_time now) const
{
    return now.monotonic < expected_until(vm);
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
    if (roster_.placement_changes() != placements_seen_) {
        placements_seen_ = roster_.placement_changes();
        const base::instant at = now.monotonic + placement_interval;
        assignments_at_ = assignments_at_ ? std::min(*assignments_at_, at) : at;
    }
    const bool due =
        assignments_due_ || (assignments_at_ && now.monotonic >= *assignments_at_);
    const auto proposed = proposed_.find("assignments");
    const bool waiting =
        proposed != proposed_.end() && now.monotonic - proposed->second < proposal_limit;
    if (!due || waiting) {
        return;
    }
    encoded::change_assignments_message command;
    command.changes = assignments_.step(
        {state_.current(), roster_, views_, now.monotonic, !expected_.empty()});
    assignments_due_ = !command.changes.empty();
    const base::instant settled = assignments_.settles_at();
    assignments_at_ = settled > now.monotonic ? std::optional(settled) : std::nullopt;
    if (!command.changes.empty() && may_propose("assignments", now)) {
        output_.proposals.push_back(encode_command(now.wall, std::move(command)));
    }
}

void controller::remove_retired_vms(event_time now)
{
    for (const base::vm_id& vm : retired_) {
        if (state_.open_incarnation(vm) || leases_.heard_run(vm, now.monotonic)) {
            continue;
        }
        const bool owned = std::any_of(
            state_.current().assignments.begin(), state_.current().assignments.end(),
            [&vm](const auto& entry) { return entry.second.owner == vm; });
        if (owned || !may_propose("remove " + vm.str(), now)) {
            continue;
        }
        encoded::remove_vm_message command;
        command.vm = vm.str();
        output_.proposals.push_back(encode_command(now.wall, std::move(command)));
    }
}

} // namespace curranthoist::control
