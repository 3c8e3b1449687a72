#include "curranthoist/control/plan.hpp"

#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/intent_rules.hpp"
#include "curranthoist/control/internal/plan_maker.hpp"
#include "curranthoist/control/roster.hpp"

#include <algorithm>
#include <map>

namespace curranthoist::control {

namespace internal {

namespace {

// More targets than this for one VM bring a warning. The deployments have about 12, and
// one small VM was planned for few times that.
constexpr std::size_t many_targets_per_vm = 40;

bool in_service(const configuration& in, const base::zone_id& zone)
{
    const auto found = in.zones.find(zone);
    return found != in.zones.end() && found->second.in_service;
}

bool in_service(const configuration& in, const target_spec& spec)
{
    return spec.in_service && in_service(in, spec.zone);
}

bool takes_work_away(intent_kind kind)
{
    return kind == intent_kind::zone_out || kind == intent_kind::target_out;
}

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

plan_maker::plan_maker(const cluster_state& state, const roster& facts,
                       const intent& wanted)
    : state_(state)
    , facts_(facts)
    , wanted_(wanted)
    , after_(state.current())
{}

plan plan_maker::make()
{
    plan_.base_revision = state_.operator_revision();
    plan_.plan_id = number(plan_.base_revision.value()) + "-" + intent_digest(wanted_);
    plan_.refused = check_intent(state_.current(), wanted_);
    if (wanted_.kind == intent_kind::replace_member && state_.wanted_replacement()) {
        plan_.refused.add("intent.member", "the replacement of member '" +
                                               state_.wanted_replacement()->old_member +
                                               "' is not finished");
    }
    if (plan_.refused.empty()) {
        add_steps();
        add_capacity();
        warn_about_vms();
    }
    return std::move(plan_);
}

void plan_maker::add_steps()
{
    plan_.steps = apply_intent(after_, wanted_);
    plan_.steps.emplace_back("send the new revision to every VM");
    add_release_steps();
    if (wanted_.kind == intent_kind::replace_member) {
        plan_.steps.push_back("add member " + wanted_.new_member + " as a learner");
        plan_.steps.push_back("replace member " + wanted_.subject + " when " +
                              wanted_.new_member + " has caught up");
    }
}

void plan_maker::add_release_steps()
{
    std::uint64_t released = 0;
    std::uint64_t moved = 0;
    for (const auto& [target, held] : after_.assignments) {
        const bool target_leaves = !in_service(after_, after_.targets.at(target));
        const auto vm = after_.vms.find(held.owner);
        const bool owner_leaves = vm == after_.vms.end() || !vm->second.in_service ||
                                  !in_service(after_, vm->second.zone);
        released += target_leaves ? 1 : 0;
        moved += !target_leaves && owner_leaves ? 1 : 0;
    }
    std::uint64_t assigned = 0;
    for (const auto& [target, spec] : after_.targets) {
        const bool servable = in_service(after_, spec);
        assigned += servable && !after_.assignments.contains(target) ? 1 : 0;
    }
    if (released > 0) {
        plan_.steps.push_back("release " + number(released) +
                              " targets that are out of service");
    }
    if (moved > 0) {
        plan_.steps.push_back("move " + number(moved) + " targets to other VMs");
    }
    if (assigned > 0) {
        plan_.steps.push_back("assign " + number(assigned) + " targets to VMs");
    }
}

std::set<base::service_id> plan_maker::affected_services() const
{
    std::set<base::service_id> services;
    for (const auto& [target, spec] : after_.targets) {
        const auto before = state_.current().targets.find(target);
        const bool same = before != state_.current().targets.end() &&
                          before->second == spec &&
                          in_service(state_.current(), spec) == in_service(after_, spec);
        if (!same) {
            services.insert(spec.service);
        }
    }
    for (const auto& [service, spec] : after_.services) {
        const auto before = state_.current().services.find(service);
        if (before == state_.current().services.end() || before->second != spec) {
            services.insert(service);
        }
    }
    return services;
}

void plan_maker::add_capacity()
{
    for (const base::service_id& service : affected_services()) {
        add_service(service);
    }
}

void plan_maker::add_service(const base::service_id& service)
{
    const coverage before = cover(state_.current(), service);
    const coverage left = cover(after_, service);
    service_capacity capacity;
    capacity.service = service;
    capacity.slots_before = before.slots;
    capacity.slots_left = left.slots;
    capacity.shards = left.shards;
    capacity.covered_before = before.covered;
    capacity.covered_left = left.covered;
    capacity.single_left = left.single;
    judge(capacity, before, left);
    plan_.capacity.push_back(std::move(capacity));
}

void plan_maker::judge(const service_capacity& service, const coverage& before,
                       const coverage& left)
{
    const std::string name = "service " + service.service.str();
    const bool demands = after_.services.at(service.service).demand_complete;
    const bool takes = takes_work_away(wanted_.kind);
    const bool loses = left.covered < before.covered || (left.slots == 0 && before.slots);
    const std::string loss = left.slots == 0
                                 ? name + " would have no target left"
                                 : name + " would cover " + number(left.covered) +
                                       " of " + number(left.shards) + " shards";
    if (takes && loses && demands) {
        plan_.refused.add("intent." + subject_field(wanted_.kind),
                          loss + ", and it demands complete responses");
    }
    else if (takes && loses) {
        plan_.warnings.push_back(loss);
    }
    if (takes && left.single > 0) {
        plan_.warnings.push_back(name + " would have " + number(left.single) +
                                 " shards with a single target left");
    }
    if (takes && left.unreported > 0) {
        plan_.warnings.push_back("the shards of " + number(left.unreported) +
                                 " targets of " + name +
                                 " are not known, so its coverage may differ");
    }
}

plan_maker::coverage plan_maker::cover(const configuration& in,
                                       const base::service_id& service) const
{
    std::map<base::snapshot_version, std::uint64_t> shards;
    std::map<base::snapshot_version, std::map<std::uint64_t, std::uint64_t>> holders;
    coverage result;
    for (const auto& [target, spec] : in.targets) {
        if (spec.service != service) {
            continue;
        }
        const auto place = facts_.newest(target);
        if (place) {
            shards[place->version] = place->shards;
        }
        if (!in_service(in, spec)) {
            continue;
        }
        result.slots += spec.slots;
        const bool query = in.services.at(service).kind == service_kind::query;
        result.unreported += query && !place ? 1 : 0;
        if (place && facts_.is_usable(target)) {
            ++holders[place->version][place->shard.value()];
        }
    }
    if (shards.empty()) {
        return result;
    }
    const auto& [version, count] = *shards.rbegin();
    result.shards = count;
    for (const auto& [shard, targets] : holders[version]) {
        ++result.covered;
        result.single += targets == 1 ? 1 : 0;
    }
    return result;
}

void plan_maker::warn_about_vms()
{
    const auto vms = static_cast<std::size_t>(
        std::count_if(after_.vms.begin(), after_.vms.end(), [this](const auto& entry) {
            return entry.second.in_service && in_service(after_, entry.second.zone);
        }));
    const auto targets = static_cast<std::size_t>(std::count_if(
        after_.targets.begin(), after_.targets.end(),
        [this](const auto& entry) { return in_service(after_, entry.second); }));
    if (targets > 0 && vms == 0) {
        plan_.warnings.emplace_back("no VM is in service to own the targets");
    }
    else if (targets > vms * many_targets_per_vm) {
        plan_.warnings.push_back("only " + number(vms) + " VMs are left for " +
                                 number(targets) + " targets");
    }
}

} // namespace internal

plan make_plan(const cluster_state& state, const roster& facts, const intent& wanted)
{
    return internal::plan_maker(state, facts, wanted).make();
}

} // namespace curranthoist::control
