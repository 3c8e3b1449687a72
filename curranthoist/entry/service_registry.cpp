#include "curranthoist/entry/service_registry.hpp"

#include <utility>

namespace curranthoist::entry {

namespace {

routing::configured_choice choice_of(const settings::policy_settings& policies)
{
    switch (policies.replica_choice) {
    case settings::replica_choice_policy::random:
        return *routing::configured_choice::named("random");
    case settings::replica_choice_policy::round_robin:
        return *routing::configured_choice::named("round_robin");
    case settings::replica_choice_policy::two_choices:
        break;
    }
    return *routing::configured_choice::named("power_of_two");
}

routing::configured_hedging hedging_of(const settings::policy_settings& policies)
{
    return *routing::configured_hedging::named(policies.hedging ? "p95" : "none");
}

admission::query_limiter_options limits_of(const settings::policy_settings& policies,
                                           const control::configuration* configuration,
                                           const base::service_id& service)
{
    // A service that demands complete coverage refuses a query for one shed part, so its
    // limit falls at a fifth of the usual share of shed parts.
    constexpr double strict_shed_share = 0.02;
    admission::query_limiter_options options;
    if (!policies.admission) {
        // The baseline without admission: the limit never falls.
        options.initial_limit = options.max_limit;
        options.min_limit = options.max_limit;
    }
    if (configuration != nullptr) {
        const auto found = configuration->services.find(service);
        if (found != configuration->services.end() && found->second.demand_complete) {
            options.max_shed_ratio = strict_shed_share;
        }
    }
    return options;
}

} // namespace

service_registry::service_registry(settings::policy_settings policies,
                                   base::random_source& random)
    : policies_(policies)
    , random_(random)
{}

void service_registry::apply(const control::configuration& configuration)
{
    configuration_ = &configuration;
    changed_ = true;
    for (const auto& [service, state] : states_) {
        state->context.choice.set_vm_count(configuration.vms.size());
    }
    const auto gone = [&](const auto& entry) {
        return !configuration.targets.contains(entry.first);
    };
    std::erase_if(roster_, gone);
}

void service_registry::apply(const wire::roster_update& update)
{
    changed_ = true;
    if (update.full()) {
        roster_.clear();
    }
    if (update.facts() == nullptr) {
        return;
    }
    for (const wire::target_fact* fact : *update.facts()) {
        if (fact->target() != nullptr) {
            roster_[base::target_id(fact->target()->str())] = from_message(*fact);
        }
    }
}

void service_registry::forget_own_fact(const base::target_id& target)
{
    changed_ = true;
    own_.erase(target);
}

void service_registry::set_own_fact(const base::target_id& target,
                                    const routing::target_fact& fact)
{
    changed_ = true;
    own_[target] = fact;
}

std::shared_ptr<const routing::service_map>
service_registry::map_of(const base::service_id& service)
{
    if (changed_ && configuration_ != nullptr) {
        rebuild();
    }
    return map_.find(service);
}

void service_registry::rebuild()
{
    changed_ = false;
    routing::shard_map::target_report_map facts = roster_;
    for (const auto& [target, fact] : own_) {
        facts[target] = fact;
    }
    map_ = routing::shard_map(*configuration_, facts);
}

service_state& service_registry::state_of(const base::service_id& service)
{
    std::unique_ptr<service_state>& state = states_[service];
    if (!state) {
        state = std::make_unique<service_state>(service_state{
            routing::scatter_context<>(random_, choice_of(policies_),
                                       hedging_of(policies_)),
            admission::query_limiter(limits_of(policies_, configuration_, service))});
        state->context.disconnected_owners = lost_;
        if (configuration_ != nullptr) {
            state->context.choice.set_vm_count(configuration_->vms.size());
        }
    }
    return *state;
}

void service_registry::set_disconnected_owners(const std::set<base::vm_id>& lost)
{
    lost_ = lost;
    for (const auto& [service, state] : states_) {
        state->context.disconnected_owners = lost;
    }
}

wire::target_fact_message to_message(const base::target_id& target,
                                     const routing::target_fact& fact)
{
    wire::target_fact_message message;
    message.target = target.str();
    message.boot_id = fact.boot.str();
    message.reachable = fact.reachable;
    message.draining = fact.draining;
    message.cold = fact.cold;
    for (const routing::held_snapshot& held : fact.snapshots) {
        auto entry = std::make_unique<wire::held_snapshot_message>();
        entry->version = held.version.value();
        entry->shard = static_cast<std::uint32_t>(held.shard.value());
        entry->shards = held.shards;
        message.snapshots.push_back(std::move(entry));
    }
    return message;
}

routing::target_fact from_message(const wire::target_fact& message)
{
    routing::target_fact fact;
    fact.boot =
        base::boot_id(message.boot_id() == nullptr ? "" : message.boot_id()->c_str());
    fact.reachable = message.reachable();
    fact.draining = message.draining();
    fact.cold = message.cold();
    if (message.snapshots() != nullptr) {
        for (const wire::held_snapshot* held : *message.snapshots()) {
            fact.snapshots.push_back({base::snapshot_version(held->version()),
                                      base::shard_number(held->shard()), held->shards()});
        }
    }
    return fact;
}

} // namespace curranthoist::entry
