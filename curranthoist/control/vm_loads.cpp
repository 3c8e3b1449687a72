#include "curranthoist/control/vm_loads.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace curranthoist::control {

void vm_loads::add_usable(const base::vm_id& vm, const base::zone_id& zone)
{
    usable_[vm] = entry{zone, 0};
    by_load_[zone].emplace(0, vm);
}

void vm_loads::change(const base::vm_id& vm, const shard& of, int by)
{
    const auto found = usable_.find(vm);
    if (found != usable_.end()) {
        auto& order = by_load_[found->second.zone];
        auto place = order.extract({found->second.load, vm});
        found->second.load += static_cast<std::size_t>(by);
        place.value().first = found->second.load;
        order.insert(std::move(place));
    }
    if (of) {
        shards_[*of][vm] += by;
    }
}

bool vm_loads::is_over(const base::vm_id& vm) const
{
    const auto found = usable_.find(vm);
    return found != usable_.end() && found->second.load > lowest() + tolerance_;
}

int vm_loads::siblings(const base::vm_id& vm, const shard& of) const
{
    const auto held = of ? shards_.find(*of) : shards_.end();
    if (held == shards_.end()) {
        return 0;
    }
    const auto number = held->second.find(vm);
    return number == held->second.end() ? 0 : number->second;
}

std::optional<base::vm_id> vm_loads::best(const base::zone_id& zone,
                                          const shard& of) const
{
    const std::size_t limit = lowest() + tolerance_;
    std::optional<std::tuple<bool, bool, std::size_t, base::vm_id>> best;
    for (const auto& [place, order] : by_load_) {
        // A shard has few targets, so few VMs are passed over here.
        const auto free = std::find_if(order.begin(), order.end(), [&](const auto& one) {
            return siblings(one.second, of) == 0;
        });
        if (free != order.end()) {
            const std::tuple score(free->first + 1 > limit, place != zone, free->first,
                                   free->second);
            best = best ? std::min(*best, score) : score;
        }
    }
    return best ? std::get<base::vm_id>(*best) : best_of_all(zone, of);
}

std::optional<base::vm_id> vm_loads::best_of_all(const base::zone_id& zone,
                                                 const shard& of) const
{
    const std::size_t limit = lowest() + tolerance_;
    std::optional<std::tuple<int, bool, bool, std::size_t, base::vm_id>> best;
    for (const auto& [vm, one] : usable_) {
        const std::tuple score(siblings(vm, of), one.load + 1 > limit, one.zone != zone,
                               one.load, vm);
        best = best ? std::min(*best, score) : score;
    }
    return best ? std::optional(std::get<base::vm_id>(*best)) : std::nullopt;
}

std::size_t vm_loads::lowest() const
{
    std::size_t lowest = std::numeric_limits<std::size_t>::max();
    for (const auto& [place, order] : by_load_) {
        lowest = order.empty() ? lowest : std::min(lowest, order.begin()->first);
    }
    return lowest;
}

} // namespace curranthoist::control
