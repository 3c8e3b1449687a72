#include "curranthoist/base/random_source.hpp"
#include "curranthoist/control/vm_loads.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace curranthoist::control {
namespace {

constexpr std::size_t tolerance = 2;

struct counted_vm
{
    base::vm_id id;
    base::zone_id zone;
    std::size_t load = 0;
    std::map<vm_loads::shard_key, int> shards;
};

// The best VM by looking at all of them, as the rules of placement say.
base::vm_id best_of(std::vector<counted_vm>& vms, const base::zone_id& zone,
                    const vm_loads::shard_key& shard)
{
    std::size_t lowest = vms.front().load;
    for (const counted_vm& vm : vms) {
        lowest = std::min(lowest, vm.load);
    }
    const auto score = [&](counted_vm& vm) {
        return std::tuple(vm.shards[shard], vm.load + 1 > lowest + tolerance,
                          vm.zone != zone, vm.load, vm.id);
    };
    return std::min_element(vms.begin(), vms.end(),
                            [&](auto& a, auto& b) { return score(a) < score(b); })
        ->id;
}

// An index that misses the best VM breaks the rules of placement without a trace.
TEST(vm_loads_test, the_index_finds_the_same_vm_as_a_look_at_all)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        base::random_source random(seed);
        vm_loads loads(tolerance);
        std::vector<counted_vm> vms;
        const auto zone = [&] { return base::zone_id(std::to_string(random.below(3))); };
        for (std::uint64_t i = 0; i < 2 + random.below(10); ++i) {
            vms.push_back({base::vm_id("vm-" + std::to_string(i)), zone(), 0, {}});
            loads.add_usable(vms.back().id, vms.back().zone);
        }
        for (int i = 0; i < 200; ++i) {
            const vm_loads::shard_key shard(base::service_id("s"), random.below(4));
            const base::zone_id near = zone();
            ASSERT_EQ(loads.best(near, shard), best_of(vms, near, shard))
                << "seed " << seed << " step " << i;
            counted_vm& vm = vms[random.below(vms.size())];
            const bool less = vm.shards[shard] > 0 && random.chance(0.4);
            const int by = less ? -1 : 1;
            vm.load += static_cast<std::size_t>(by);
            vm.shards[shard] += by;
            loads.change(vm.id, shard, by);
        }
    }
}

TEST(vm_loads_test, without_usable_vms_there_is_none)
{
    EXPECT_EQ(vm_loads(tolerance).best(base::zone_id("a"), std::nullopt), std::nullopt);
}

} // namespace
} // namespace curranthoist::control
