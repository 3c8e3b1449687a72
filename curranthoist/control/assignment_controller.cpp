#include "curranthoist/control/assignment_controller.hpp"

#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/roster.hpp"

#include <algorithm>
#include <string>

namespace curranthoist::control {

using encoded::assignment_step;

void assignment_controller::clear()
{
    *this = assignment_controller();
}

void assignment_controller::on_released(const base::target_id& target,
                                        const release_report& report)
{
    released_[target] = report;
}

std::vector<std::unique_ptr<encoded::assignment_change_message>>
assignment_controller::step(const inputs& now)
{
    changes_.clear();
    moving_shards_.clear();
    note_usable_vms(now);
    drop_old_reports(now);
    count(now);
    for (const auto& [target, spec] : now.current.targets) {
        if (changes_.size() >= max_changes) {
            break;
        }
        step_target(now, target);
    }
    if (may_move(now)) {
        move_for_shards(now);
        move_for_balance(now);
    }
    return std::move(changes_);
}

void assignment_controller::drop_old_reports(const inputs& now)
{
    std::erase_if(released_, [&now](const auto& entry) {
        const auto held = now.current.assignments.find(entry.first);
        return held == now.current.assignments.end() ||
               held->second.number != entry.second.number;
    });
}

void assignment_controller::note_usable_vms(const inputs& now)
{
    std::set<base::vm_id> usable;
    for (const auto& [vm, view] : now.vms) {
        if (view.usable) {
            usable.insert(vm);
        }
    }
    if (usable != usable_) {
        usable_ = std::move(usable);
        usable_since_ = now.now;
    }
}

void assignment_controller::count(const inputs& now)
{
    loads_ = vm_loads(balance_tolerance);
    for (const base::vm_id& vm : usable_) {
        loads_.add_usable(vm, now.current.vms.at(vm).zone);
    }
    for (const auto& [target, held] : now.current.assignments) {
        if (held.phase == assignment_phase::owned) {
            loads_.change(held.owner, shard_of(now, target), 1);
        }
    }
}

bool assignment_controller::is_servable(const inputs& now,
                                        const base::target_id& target) const
{
    const target_spec& spec = now.current.targets.at(target);
    const auto zone = now.current.zones.find(spec.zone);
    return spec.in_service && zone != now.current.zones.end() && zone->second.in_service;
}

void assignment_controller::step_target(const inputs& now, const base::target_id& target)
{
    const auto held = now.current.assignments.find(target);
    if (held == now.current.assignments.end()) {
        if (is_servable(now, target) && !now.vms_expected) {
            own(now, target, "it has no owner");
        }
        return;
    }
    if (held->second.phase == assignment_phase::releasing) {
        step_releasing(now, target);
        return;
    }
    const auto owner = now.vms.find(held->second.owner);
    if (!is_servable(now, target)) {
        release(now, target, "the target or its zone is out of service");
    }
    else if (owner == now.vms.end() || !owner->second.may_keep) {
        release(now, target,
                "VM " + held->second.owner.str() +
                    " is lost, stopping or out of service");
    }
}

void assignment_controller::step_releasing(const inputs& now,
                                           const base::target_id& target)
{
    const assignment& held = now.current.assignments.at(target);
    const auto report = released_.find(target);
    const bool reported =
        report != released_.end() && report->second.number == held.number;
    const auto owner = now.vms.find(held.owner);
    const bool closed = owner == now.vms.end() || !owner->second.open;
    if (!reported && !closed) {
        return;
    }
    if (!is_servable(now, target)) {
        remove(now, target);
        return;
    }
    own(now, target,
        reported ? "VM " + held.owner.str() + " released it"
                 : "the lease of VM " + held.owner.str() + " ran out");
}

void assignment_controller::release(const inputs& now, const base::target_id& target,
                                    const std::string& reason)
{
    const assignment& held = now.current.assignments.at(target);
    auto made = std::make_unique<change>();
    made->step = assignment_step::release;
    made->target = target.str();
    made->expected_fence = held.number.value();
    made->reason = "target " + target.str() + " leaves VM " + held.owner.str() +
                   " because " + reason;
    changes_.push_back(std::move(made));
    const auto shard = shard_of(now, target);
    loads_.change(held.owner, shard, -1);
    if (shard) {
        moving_shards_.insert(*shard);
    }
}

void assignment_controller::own(const inputs& now, const base::target_id& target,
                                const std::string& reason)
{
    const std::optional<base::vm_id> vm = best_vm(now, target);
    if (!vm) {
        return;
    }
    auto made = std::make_unique<change>();
    made->step = assignment_step::own;
    made->target = target.str();
    made->owner = vm->str();
    const auto held = now.current.assignments.find(target);
    if (held != now.current.assignments.end()) {
        made->expected_fence = held->second.number.value();
        const auto report = released_.find(target);
        if (report != released_.end() && report->second.number == held->second.number) {
            made->reported_released = true;
            made->warm = report->second.warm;
            made->pace_milli_per_s = report->second.pace_milli_per_s;
        }
    }
    made->reason =
        "target " + target.str() + " goes to VM " + vm->str() + " because " + reason;
    changes_.push_back(std::move(made));
    loads_.change(*vm, shard_of(now, target), 1);
}

void assignment_controller::remove(const inputs& now, const base::target_id& target)
{
    const assignment& held = now.current.assignments.at(target);
    const auto report = released_.find(target);
    auto made = std::make_unique<change>();
    made->step = assignment_step::remove;
    made->target = target.str();
    made->expected_fence = held.number.value();
    made->reported_released =
        report != released_.end() && report->second.number == held.number;
    made->reason = "target " + target.str() +
                   " has no owner because it or its zone is out of service";
    changes_.push_back(std::move(made));
}

std::optional<base::vm_id>
assignment_controller::best_vm(const inputs& now, const base::target_id& target) const
{
    return loads_.best(now.current.targets.at(target).zone, shard_of(now, target));
}

std::optional<assignment_controller::shard_key>
assignment_controller::shard_of(const inputs& now, const base::target_id& target) const
{
    const auto place = now.facts.newest(target);
    const auto spec = now.current.targets.find(target);
    if (!place || spec == now.current.targets.end()) {
        return std::nullopt;
    }
    return shard_key(spec->second.service, place->shard.value());
}

bool assignment_controller::may_move(const inputs& now) const
{
    const bool busy =
        std::any_of(now.current.assignments.begin(), now.current.assignments.end(),
                    [](const auto& entry) {
                        return entry.second.phase == assignment_phase::releasing;
                    });
    return changes_.empty() && !busy && usable_.size() > 1 &&
           now.now - usable_since_ >= settle_time;
}

void assignment_controller::move_for_shards(const inputs& now)
{
    for (const auto& [target, held] : now.current.assignments) {
        if (changes_.size() >= max_moves) {
            return;
        }
        const auto shard = shard_of(now, target);
        // Two siblings must not move at once: the shard would have no target meanwhile.
        if (!shard || moving_shards_.contains(*shard) ||
            loads_.siblings(held.owner, shard) < 2) {
            continue;
        }
        const std::optional<base::vm_id> better = best_vm(now, target);
        if (better && loads_.siblings(*better, shard) == 0) {
            release(now, target, "the VM owns another target of the same shard");
        }
    }
}

void assignment_controller::move_for_balance(const inputs& now)
{
    for (const auto& [target, held] : now.current.assignments) {
        if (changes_.size() >= max_moves) {
            return;
        }
        if (!loads_.is_over(held.owner)) {
            continue;
        }
        const auto shard = shard_of(now, target);
        if (shard && moving_shards_.contains(*shard)) {
            continue;
        }
        loads_.change(held.owner, shard, -1);
        const std::optional<base::vm_id> better = best_vm(now, target);
        loads_.change(held.owner, shard, 1);
        // Without this check a target whose siblings are everywhere else would be
        // released and assigned to the same VM for ever.
        if (better && *better != held.owner) {
            release(now, target, "the VM owns more targets than others");
            loads_.change(*better, shard, 1);
        }
    }
}

} // namespace curranthoist::control
