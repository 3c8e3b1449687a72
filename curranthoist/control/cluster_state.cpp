#include "curranthoist/control/cluster_state.hpp"

#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/intent.hpp"
#include "curranthoist/control/intent_rules.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::control {

apply_result cluster_state::apply(base::log_index index,
                                  std::span<const std::uint8_t> command)
{
    applied_index_ = std::max(applied_index_, index);
    const auto decoded = decode_command(command);
    if (!decoded) {
        return malformed_result{};
    }
    time_ =
        std::max(time_, base::instant(static_cast<std::int64_t>(decoded->wall_time_ms)));
    drop_old();
    return apply_body(*decoded);
}

apply_result cluster_state::apply_body(const encoded::command_message& command)
{
    const auto& body = command.body;
    switch (body.type) {
    case encoded::command_body::operator_intent:
        return apply_intent_command(*body.Asoperator_intent());
    case encoded::command_body::change_assignments:
        return apply_assignments(*body.Aschange_assignments());
    case encoded::command_body::open_incarnation:
        return apply_open(*body.Asopen_incarnation());
    case encoded::command_body::close_incarnation:
        return apply_close(*body.Asclose_incarnation());
    case encoded::command_body::remove_vm:
        return apply_remove_vm(*body.Asremove_vm());
    case encoded::command_body::claim:
        return apply_claim(*body.Asclaim());
    case encoded::command_body::record_claim:
        return apply_record(*body.Asrecord_claim());
    case encoded::command_body::member_replaced:
        if (wanted_replacement_ &&
            wanted_replacement_->old_member == body.Asmember_replaced()->old_member) {
            wanted_replacement_.reset();
        }
        return member_replaced_result{body.Asmember_replaced()->old_member};
    case encoded::command_body::NONE:
        break;
    }
    return malformed_result{};
}

intent_result
cluster_state::apply_intent_command(const encoded::operator_intent_message& command)
{
    intent_result result;
    result.id = base::intent_id(command.intent_id);
    if (!command.value || result.id.empty()) {
        result.refused.add("intent", "the intent or its id is missing");
        return result;
    }
    if (const intent_outcome* first = outcome_of(result.id)) {
        result.outcome = *first;
        result.result = first->digest == intent_digest(*command.value)
                            ? intent_result::status::repeated
                            : intent_result::status::id_reused;
        return result;
    }
    const base::revision base_revision(command.base_revision);
    if (base_revision != operator_revision_) {
        result.result = intent_result::status::stale;
        result.since = operator_decisions_since(base_revision);
        return result;
    }
    result.refused = check_intent(configuration_, *command.value);
    if (command.value->kind == intent_kind::replace_member && wanted_replacement_) {
        result.refused.add("intent", "member " + wanted_replacement_->old_member +
                                         " is being replaced");
    }
    if (result.refused.empty()) {
        accept_intent(command, result);
    }
    return result;
}

void cluster_state::accept_intent(const encoded::operator_intent_message& command,
                                  intent_result& result)
{
    const intent& wanted = *command.value;
    std::vector<std::string> changes = apply_intent(configuration_, wanted);
    if (wanted.kind == intent_kind::replace_member) {
        wanted_replacement_ =
            member_replacement{wanted.subject, wanted.new_member, wanted.address};
    }
    configuration_.number = configuration_.number.next();
    operator_revision_ = configuration_.number;
    result.result = intent_result::status::accepted;
    result.outcome =
        intent_outcome{intent_digest(wanted), time_, configuration_.number, changes};
    outcomes_[result.id] = result.outcome;
    outcome_order_.push_back(result.id);
    add_decision(operator_decisions_, max_operator_decisions,
                 decision{command.operator_name, time_, result.id, configuration_.number,
                          std::move(changes)});
}

claim_result cluster_state::apply_claim(const encoded::claim_message& command)
{
    claim_result result{base::request_id(command.request_id),
                        base::vm_id(command.vm),
                        base::incarnation(command.incarnation),
                        command.attempt,
                        claim_answer::refused,
                        {}};
    const bool open = open_incarnation(result.vm) == result.run;
    if (!open) {
        return result;
    }
    claim_record wanted;
    wanted.vm = result.vm;
    wanted.run = result.run;
    wanted.attempt = command.attempt;
    result.answer = claims_.claim(result.id, wanted, time_);
    if (result.answer == claim_answer::ran) {
        result.body = claim_store::response_of(*claims_.find(result.id));
    }
    return result;
}

record_result cluster_state::apply_record(const encoded::record_claim_message& command)
{
    record_result result{base::request_id(command.request_id), base::vm_id(command.vm),
                         base::incarnation(command.incarnation), command.attempt, false};
    claim_record outcome;
    outcome.vm = result.vm;
    outcome.run = result.run;
    outcome.attempt = command.attempt;
    outcome.status = command.result;
    outcome.body = command.body;
    outcome.body_bytes = command.body_bytes;
    result.stored = claims_.record(result.id, outcome);
    return result;
}

assignments_result
cluster_state::apply_assignments(const encoded::change_assignments_message& all)
{
    assignments_result result;
    for (const auto& change : all.changes) {
        if (apply_change(*change)) {
            result.changes.push_back(change->reason);
        }
        else {
            ++result.skipped;
        }
    }
    if (!result.changes.empty()) {
        configuration_.number = configuration_.number.next();
        add_decision(
            leader_decisions_, max_leader_decisions,
            decision{"leader", time_, {}, configuration_.number, result.changes});
    }
    return result;
}

bool cluster_state::apply_change(const encoded::assignment_change_message& change)
{
    const base::target_id target(change.target);
    const auto held = configuration_.assignments.find(target);
    const base::fence fence =
        held == configuration_.assignments.end() ? base::fence() : held->second.number;
    if (!configuration_.targets.contains(target) ||
        fence != base::fence(change.expected_fence)) {
        return false;
    }
    if (change.step == encoded::assignment_step::release) {
        const bool owned =
            fence != base::fence() && held->second.phase == assignment_phase::owned;
        if (owned) {
            held->second.phase = assignment_phase::releasing;
        }
        return owned;
    }
    if (!may_own(change)) {
        return false;
    }
    if (change.step == encoded::assignment_step::remove) {
        return configuration_.assignments.erase(target) > 0;
    }
    last_fence_ = last_fence_.next();
    configuration_.assignments[target] =
        assignment{base::vm_id(change.owner), last_fence_, assignment_phase::owned,
                   change.warm, change.pace_milli_per_s};
    return true;
}

// Whether the former owner is done with the target. The check is made here, in the order
// of the log, because the former owner may have come back since the leader decided.
bool cluster_state::may_own(const encoded::assignment_change_message& change) const
{
    const bool owner_known = change.step != encoded::assignment_step::own ||
                             configuration_.vms.contains(base::vm_id(change.owner));
    const auto held = configuration_.assignments.find(base::target_id(change.target));
    if (held == configuration_.assignments.end()) {
        return owner_known;
    }
    const bool ended = change.reported_released || !open_incarnation(held->second.owner);
    return owner_known && ended && held->second.phase == assignment_phase::releasing;
}

incarnation_result
cluster_state::apply_open(const encoded::open_incarnation_message& command)
{
    incarnation_result result{base::vm_id(command.vm),
                              base::incarnation(command.incarnation), false, false, 0};
    const std::optional<base::incarnation> open = open_incarnation(result.vm);
    if (!configuration_.vms.contains(result.vm) || open == result.run) {
        return result;
    }
    // Another process may still hold a lease. It can do no harm only if the VM owns
    // nothing; otherwise it has to be closed first.
    if (open && owns_any(result.vm)) {
        return result;
    }
    open_processes_[result.vm] = open_process{result.run, applied_index_};
    result.open = true;
    result.abandoned = claims_.abandon(result.vm, result.run);
    return result;
}

incarnation_result
cluster_state::apply_close(const encoded::close_incarnation_message& command)
{
    incarnation_result result{base::vm_id(command.vm),
                              base::incarnation(command.incarnation), false, false, 0};
    const auto found = open_processes_.find(result.vm);
    const open_process closed{result.run, base::log_index(command.opened_at)};
    if (found != open_processes_.end() && found->second == closed) {
        open_processes_.erase(found);
        result.closed = true;
        result.abandoned = claims_.abandon(result.vm, base::incarnation());
    }
    return result;
}

bool cluster_state::owns_any(const base::vm_id& vm) const
{
    return std::any_of(configuration_.assignments.begin(),
                       configuration_.assignments.end(),
                       [&](const auto& entry) { return entry.second.owner == vm; });
}

vm_removed_result
cluster_state::apply_remove_vm(const encoded::remove_vm_message& command)
{
    vm_removed_result result{base::vm_id(command.vm), false};
    const auto found = configuration_.vms.find(result.vm);
    if (found == configuration_.vms.end() || found->second.in_service ||
        owns_any(result.vm) || open_incarnation(result.vm)) {
        return result;
    }
    configuration_.vms.erase(found);
    configuration_.number = configuration_.number.next();
    add_decision(
        leader_decisions_, max_leader_decisions,
        decision{
            "leader", time_, {}, configuration_.number, {"removed VM " + command.vm}});
    result.removed = true;
    return result;
}

std::optional<base::incarnation>
cluster_state::open_incarnation(const base::vm_id& vm) const
{
    const auto found = open_processes_.find(vm);
    if (found == open_processes_.end()) {
        return std::nullopt;
    }
    return found->second.run;
}

const intent_outcome* cluster_state::outcome_of(const base::intent_id& id) const
{
    const auto found = outcomes_.find(id);
    return found == outcomes_.end() ? nullptr : &found->second;
}

std::vector<decision> cluster_state::operator_decisions_since(base::revision base) const
{
    std::vector<decision> since;
    std::copy_if(operator_decisions_.begin(), operator_decisions_.end(),
                 std::back_inserter(since),
                 [base](const decision& one) { return one.number > base; });
    return since;
}

std::vector<decision> cluster_state::decisions() const
{
    std::vector<decision> all;
    std::merge(operator_decisions_.begin(), operator_decisions_.end(),
               leader_decisions_.begin(), leader_decisions_.end(),
               std::back_inserter(all),
               [](const decision& a, const decision& b) { return a.number < b.number; });
    return all;
}

void cluster_state::add_decision(std::deque<decision>& list, std::size_t limit,
                                 decision value)
{
    list.push_back(std::move(value));
    if (list.size() > limit) {
        list.pop_front();
    }
}

void cluster_state::drop_old()
{
    claims_.expire(time_);
    while (!outcome_order_.empty()) {
        const auto oldest = outcomes_.find(outcome_order_.front());
        const bool old = oldest->second.time < time_ - outcome_retention;
        if (!old && outcome_order_.size() <= max_outcomes) {
            return;
        }
        outcomes_.erase(oldest);
        outcome_order_.pop_front();
    }
}

} // namespace curranthoist::control
