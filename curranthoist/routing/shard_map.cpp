#include "curranthoist/routing/shard_map.hpp"

#include <algorithm>
#include <optional>

namespace curranthoist::routing {
namespace {

bool in_service(const control::configuration& configuration,
                const control::target_spec& target)
{
    const auto zone = configuration.zones.find(target.zone);
    return target.in_service && zone != configuration.zones.end() &&
           zone->second.in_service;
}

// The target as a replica if it may receive work.
std::optional<replica> usable(const control::configuration& configuration,
                              const base::target_id& id,
                              const control::target_spec& target, const target_fact& fact)
{
    const auto owned = configuration.assignments.find(id);
    if (owned == configuration.assignments.end() ||
        owned->second.phase != control::assignment_phase::owned || !fact.reachable ||
        fact.draining || !in_service(configuration, target)) {
        return std::nullopt;
    }
    return replica{id, owned->second.owner, owned->second.number, fact.cold};
}

void add_snapshots(service_map& service, const target_fact& fact,
                   const std::optional<replica>& where)
{
    for (const held_snapshot& held : fact.snapshots) {
        const std::uint64_t shard = held.shard.value();
        if (held.shards > shard_map::max_shards || shard >= held.shards) {
            continue;
        }
        auto& shards = service.snapshots[held.version].shards;
        // Facts that disagree on the map's size are settled towards more shards: coverage
        // may then be understated, but never overstated.
        shards.resize(std::max<std::size_t>(shards.size(), held.shards));
        if (where) {
            shards[shard].push_back(*where);
        }
    }
}

} // namespace

shard_map::shard_map(const control::configuration& configuration, const fact_map& facts)
{
    std::map<base::service_id, std::shared_ptr<service_map>> building;
    for (const auto& [id, spec] : configuration.services) {
        building.emplace(id, std::make_shared<service_map>());
    }
    for (const auto& [id, target] : configuration.targets) {
        const auto fact = facts.find(id);
        const auto service = building.find(target.service);
        if (fact == facts.end() || service == building.end()) {
            continue;
        }
        const auto where = usable(configuration, id, target, fact->second);
        add_snapshots(*service->second, fact->second, where);
        if (where) {
            service->second->targets.push_back(*where);
        }
    }
    services_.insert(building.begin(), building.end());
}

std::shared_ptr<const service_map> shard_map::find(const base::service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace curranthoist::routing
