#include "curranthoist/routing/snapshot_choice.hpp"

#include <algorithm>

namespace curranthoist::routing {

std::size_t snapshot_view::usable_shards() const
{
    return static_cast<std::size_t>(
        std::count_if(shards.begin(), shards.end(),
                      [](const auto& replicas) { return !replicas.empty(); }));
}

std::optional<base::snapshot_version>
choose_snapshot(const service_map& service,
                std::span<const base::snapshot_version> excluded)
{
    std::optional<base::snapshot_version> best;
    std::size_t best_usable = 0;
    std::size_t best_total = 1;
    // The loop starts at the newest version, so that an older version is chosen only if
    // its fraction is strictly higher.
    for (auto view = service.snapshots.rbegin(); view != service.snapshots.rend();
         ++view) {
        const std::size_t usable = view->second.usable_shards();
        const std::size_t total = view->second.shards.size();
        const bool is_excluded =
            std::find(excluded.begin(), excluded.end(), view->first) != excluded.end();
        if (!is_excluded && usable * best_total > best_usable * total) {
            best = view->first;
            best_usable = usable;
            best_total = total;
        }
    }
    return best;
}

} // namespace curranthoist::routing
