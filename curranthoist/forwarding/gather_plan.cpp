#include "curranthoist/forwarding/gather_plan.hpp"

#include "curranthoist/forwarding/target_directory.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace curranthoist::forwarding {

namespace {

// Fewer parts than this are not worth the detour.
constexpr std::size_t min_second_sends = 2;

std::size_t hash_of(std::string_view a, std::string_view b)
{
    std::string text(a);
    text.append("|").append(b);
    return std::hash<std::string>()(text);
}

} // namespace

std::map<base::zone_id, std::vector<base::vm_id>>
order_gatherers(std::span<const deployment::gatherer> gatherers,
                std::string_view own_name)
{
    std::map<base::zone_id, std::vector<std::pair<std::size_t, base::vm_id>>> ranked;
    for (const deployment::gatherer& one : gatherers) {
        ranked[one.zone].emplace_back(hash_of(own_name, one.name.str()), one.name);
    }
    std::map<base::zone_id, std::vector<base::vm_id>> result;
    for (auto& [zone, names] : ranked) {
        std::sort(names.begin(), names.end());
        for (auto& [rank, name] : names) {
            result[zone].push_back(std::move(name));
        }
    }
    return result;
}

std::vector<gather_group> plan_gather(std::span<const base::service_id> shards,
                                      std::span<const deployment::gatherer> available,
                                      const target_directory& directory,
                                      std::string_view own_name, base::instant now,
                                      const base::zone_id* away)
{
    if (shards.size() < min_shards_to_gather || available.empty()) {
        return {};
    }
    const auto gatherers = order_gatherers(available, own_name);
    std::map<base::zone_id, std::vector<std::size_t>> by_zone;
    for (std::size_t i = 0; i < shards.size(); ++i) {
        const base::zone_id* best = nullptr;
        std::tuple<bool, bool, std::size_t> best_rank;
        for (const base::zone_id* zone : directory.preferred_zones(shards[i], now)) {
            const std::tuple rank(away == nullptr || *zone != *away,
                                  *zone != directory.own_zone(),
                                  hash_of(shards[i].str(), zone->str()));
            if (gatherers.contains(*zone) && (best == nullptr || rank < best_rank)) {
                best = zone;
                best_rank = rank;
            }
        }
        if (best != nullptr) {
            by_zone[*best].push_back(i);
        }
    }
    std::vector<gather_group> groups;
    for (const auto& [zone, indices] : by_zone) {
        const auto& names = gatherers.at(zone);
        const std::size_t needed =
            (indices.size() + max_shards_per_gatherer - 1) / max_shards_per_gatherer;
        const std::size_t used = std::min(needed, names.size());
        std::vector<gather_group> of_zone(used);
        for (std::size_t i = 0; i < indices.size(); ++i) {
            of_zone[i % used].shards.push_back(indices[i]);
        }
        for (std::size_t i = 0; i < used; ++i) {
            of_zone[i].gatherer = names[i];
            groups.push_back(std::move(of_zone[i]));
        }
    }
    return groups;
}

std::vector<second_send_group>
plan_second_sends(std::span<const send_action> sends,
                  std::span<const deployment::gatherer> available,
                  const target_directory& directory, std::string_view own_name)
{
    std::map<base::zone_id, std::vector<std::size_t>> by_zone;
    for (std::size_t i = 0; i < sends.size(); ++i) {
        const deployment::listed_target* target = directory.find(sends[i].target);
        if (target != nullptr && target->zone != directory.own_zone()) {
            by_zone[target->zone].push_back(i);
        }
    }
    std::vector<second_send_group> groups;
    if (by_zone.empty() || available.empty()) {
        return groups;
    }
    const auto gatherers = order_gatherers(available, own_name);
    for (auto& [zone, indices] : by_zone) {
        const auto names = gatherers.find(zone);
        if (indices.size() >= min_second_sends && names != gatherers.end()) {
            groups.push_back({names->second.front(), std::move(indices)});
        }
    }
    return groups;
}

} // namespace curranthoist::forwarding
