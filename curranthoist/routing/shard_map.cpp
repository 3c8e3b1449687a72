#include "curranthoist/routing/shard_map.hpp"

#include <algorithm>
#include <optional>
#include <vector>

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

// A service's map under construction.
struct growing_map
{
    std::shared_ptr<service_map> map = std::make_shared<service_map>();
    // The shards of all its snapshots.
    std::size_t shards = 0;
};

// Makes room for `wanted` shards of a version; returns false if the map is full.
bool grow(growing_map& service, base::snapshot_version version, std::size_t wanted)
{
    const auto found = service.map->snapshots.find(version);
    const std::size_t present =
        found == service.map->snapshots.end() ? 0 : found->second.shards.size();
    if (wanted <= present) {
        return true;
    }
    if (service.shards + wanted - present > shard_map::max_service_shards) {
        return false;
    }
    // Facts that disagree on the map's size are settled towards more shards: coverage may
    // then be understated, but never overstated.
    service.map->snapshots[version].shards.resize(wanted);
    service.shards += wanted - present;
    return true;
}

// The newest snapshots of a fact, at most shard_map::max_snapshots.
std::vector<held_snapshot> newest_snapshots(const target_fact& fact)
{
    std::vector<held_snapshot> held = fact.snapshots;
    if (held.size() > shard_map::max_snapshots) {
        const auto end = held.begin() + shard_map::max_snapshots;
        std::nth_element(held.begin(), end, held.end(), [](const auto& a, const auto& b) {
            return a.version > b.version;
        });
        held.erase(end, held.end());
    }
    return held;
}

void add_snapshots(growing_map& service, const target_fact& fact,
                   const std::optional<replica>& where)
{
    for (const held_snapshot& held : newest_snapshots(fact)) {
        const std::uint64_t shard = held.shard.value();
        const bool possible = held.shards <= shard_map::max_shards && shard < held.shards;
        if (possible && grow(service, held.version, held.shards) && where) {
            service.map->snapshots[held.version].shards[shard].push_back(*where);
        }
    }
}

} // namespace

shard_map::shard_map(const control::configuration& configuration, const fact_map& facts)
{
    std::map<base::service_id, growing_map> building;
    for (const auto& [id, spec] : configuration.services) {
        building.emplace(id, growing_map());
    }
    for (const auto& [id, target] : configuration.targets) {
        const auto fact = facts.find(id);
        const auto service = building.find(target.service);
        if (fact == facts.end() || service == building.end()) {
            continue;
        }
        const auto where = usable(configuration, id, target, fact->second);
        add_snapshots(service->second, fact->second, where);
        if (where) {
            service->second.map->targets.push_back(*where);
        }
    }
    for (const auto& [id, one] : building) {
        services_.emplace(id, one.map);
    }
}

std::shared_ptr<const service_map> shard_map::find(const base::service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace curranthoist::routing
