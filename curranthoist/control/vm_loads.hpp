#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace curranthoist::control {

// The number of targets of each VM and the shards they belong to, with an order by load
// in each zone, so that the best VM for a target is found without looking at all VMs.
//
//     vm_loads loads;
//     loads.add_usable(vm, zone);
//     loads.change(vm, shard, 1);
//     loads.best(zone, shard);
class vm_loads
{
public:
    using shard_key = std::pair<base::service_id, std::uint64_t>;
    using shard = std::optional<shard_key>;

    // Loads may differ by `tolerance` before a VM counts as loaded.
    explicit vm_loads(std::size_t tolerance)
        : tolerance_(tolerance)
    {}

    // The VM may become an owner.
    void add_usable(const base::vm_id& vm, const base::zone_id& zone);
    // The VM has `by` targets more of that shard. Shards are counted for all VMs, loads
    // for usable ones.
    void change(const base::vm_id& vm, const shard& of, int by);
    // Whether the VM is usable and has more targets than the least loaded one and the
    // tolerance.
    [[nodiscard]] bool is_over(const base::vm_id& vm) const;
    // How many targets of the shard the VM has.
    [[nodiscard]] int siblings(const base::vm_id& vm, const shard& of) const;
    // The VM with the fewest targets of the shard; then one that is not loaded, then one
    // in the zone, then the one with the lowest load, then the first by name.
    [[nodiscard]] std::optional<base::vm_id> best(const base::zone_id& zone,
                                                  const shard& of) const;

private:
    struct entry
    {
        base::zone_id zone;
        std::size_t load = 0;
    };

    [[nodiscard]] std::size_t lowest() const;
    [[nodiscard]] std::optional<base::vm_id> best_of_all(const base::zone_id& zone,
                                                         const shard& of) const;

    std::size_t tolerance_;
    std::map<base::vm_id, entry> usable_;
    std::map<base::zone_id, std::set<std::pair<std::size_t, base::vm_id>>> by_load_;
    std::map<shard_key, std::map<base::vm_id, int>> shards_;
};

} // namespace curranthoist::control
