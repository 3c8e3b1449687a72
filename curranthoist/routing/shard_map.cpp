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

// Returns the target as a replica if the target may receive work, otherwise nullopt.
std::optional<replica> find_usable_replica(const control::configuration& configuration,
                                           const base::target_id& id,
                                           const control::target_spec& target,
                                           const target_fact& target_report)
{
    const auto assignment = configuration.assignments.find(id);
    if (assignment == configuration.assignments.end() ||
        assignment->second.phase != control::assignment_phase::owned ||
        !target_report.reachable || target_report.draining ||
        !in_service(configuration, target)) {
        return std::nullopt;
    }
    return replica{id, assignment->second.owner, assignment->second.number,
                   target_report.cold};
}

// A service_map under construction.
struct service_map_builder
{
    std::shared_ptr<service_map> map = std::make_shared<service_map>();
    // The number of shards in all snapshots of the map together.
    std::size_t shards = 0;
};

// Extends a version to at least `shard_count` shards. Returns false if the map would
// exceed shard_map::max_service_shards.
bool reserve_shards(service_map_builder& service, base::snapshot_version version,
                    std::size_t shard_count)
{
    const auto found = service.map->snapshots.find(version);
    const std::size_t current_count =
        found == service.map->snapshots.end() ? 0 : found->second.shards.size();
    if (shard_count <= current_count) {
        return true;
    }
    if (service.shards + shard_count - current_count > shard_map::max_service_shards) {
        return false;
    }
    // If target reports disagree on the number of shards, the largest number is used, so
    // that coverage may be understated but is never overstated.
    service.map->snapshots[version].shards.resize(shard_count);
    service.shards += shard_count - current_count;
    return true;
}

// Returns the newest snapshots of a target report, at most shard_map::max_snapshots.
std::vector<held_snapshot> newest_snapshots(const target_fact& target_report)
{
    std::vector<held_snapshot> held = target_report.snapshots;
    if (held.size() > shard_map::max_snapshots) {
        const auto end = held.begin() + shard_map::max_snapshots;
        std::nth_element(held.begin(), end, held.end(), [](const auto& a, const auto& b) {
            return a.version > b.version;
        });
        held.erase(end, held.end());
    }
    return held;
}

void add_snapshots(service_map_builder& service, const target_fact& target_report,
                   const std::optional<replica>& usable_target)
{
    for (const held_snapshot& held : newest_snapshots(target_report)) {
        const std::uint64_t shard = held.shard.value();
        const bool valid = held.shards <= shard_map::max_shards && shard < held.shards;
        if (valid && reserve_shards(service, held.version, held.shards) &&
            usable_target) {
            service.map->snapshots[held.version].shards[shard].push_back(*usable_target);
        }
    }
}

} // namespace

shard_map::shard_map(const control::configuration& configuration,
                     const target_report_map& target_reports)
{
    std::map<base::service_id, service_map_builder> builders;
    for (const auto& [id, spec] : configuration.services) {
        builders.emplace(id, service_map_builder());
    }
    for (const auto& [id, target] : configuration.targets) {
        const auto target_report = target_reports.find(id);
        const auto service = builders.find(target.service);
        if (target_report == target_reports.end() || service == builders.end()) {
            continue;
        }
        const auto usable_target =
            find_usable_replica(configuration, id, target, target_report->second);
        add_snapshots(service->second, target_report->second, usable_target);
        if (usable_target) {
            service->second.map->targets.push_back(*usable_target);
        }
    }
    for (const auto& [id, builder] : builders) {
        services_.emplace(id, builder.map);
    }
}

std::shared_ptr<const service_map> shard_map::find(const base::service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace curranthoist::routing
