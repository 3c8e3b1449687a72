#include "curranthoist/forwarding/gather_plan.hpp"

#include "curranthoist/forwarding/target_directory.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace curranthoist::forwarding {

namespace {

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
                                      std::string_view own_name, base::instant now)
{
    if (shards.size() < min_shards_to_gather || available.empty()) {
        return {};
    }
    const auto gatherers = order_gatherers(available, own_name);
    std::map<base::zone_id, std::vector<std::size_t>> by_zone;
    for (std::size_t i = 0; i < shards.size(); ++i) {
        const base::zone_id* best = nullptr;
        std::size_t best_rank = 0;
        for (const base::zone_id* zone : directory.usable_zones(shards[i], now)) {
            const std::size_t rank = hash_of(shards[i].str(), zone->str());
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

} // namespace curranthoist::forwarding
