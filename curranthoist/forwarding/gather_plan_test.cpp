#include "curranthoist/forwarding/gather_plan.hpp"
#include "curranthoist/forwarding/target_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace curranthoist::forwarding {
namespace {

constexpr std::size_t zones = 6;
constexpr std::size_t copies = 3;

std::string zone_name(std::size_t zone)
{
    return "z" + std::to_string(zone % zones);
}

// An index whose shards each have three targets, in three of six zones.
class gather_plan_test : public ::testing::Test
{
protected:
    void use(std::size_t shard_count, std::size_t gatherers_per_zone = 4)
    {
        std::vector<deployment::listed_target> targets;
        for (std::size_t i = 0; i < shard_count; ++i) {
            shards_.emplace_back("s" + std::to_string(i));
            for (std::size_t copy = 0; copy < copies; ++copy) {
                const std::string id = "t" + std::to_string(i * copies + copy);
                targets.push_back({base::target_id(id),
                                   shards_.back(),
                                   base::zone_id(zone_name(i + 2 * copy)),
                                   {"10.0.0.1", static_cast<std::uint16_t>(1 + i)},
                                   false,
                                   {}});
            }
        }
        targets_ = targets;
        directory_.apply({.targets = targets, .read_at = now_});
        for (std::size_t i = 0; i < zones * gatherers_per_zone; ++i) {
            gatherers_.push_back({base::vm_id("g" + std::to_string(i)),
                                  base::zone_id(zone_name(i)),
                                  {"10.0.1.1", static_cast<std::uint16_t>(1 + i)}});
        }
    }
    [[nodiscard]] std::vector<gather_group> plan(std::string_view own_name = "vm-1") const
    {
        return plan_gather(shards_, gatherers_, directory_, own_name, now_);
    }
    // The plan of a VM in another zone than the usual one.
    [[nodiscard]] std::vector<gather_group> plan_in(std::size_t zone,
                                                    std::string_view own_name) const
    {
        target_directory directory{
            {base::zone_id(zone_name(zone)), "vm", base::duration(800)}};
        directory.apply({.targets = targets_, .read_at = now_});
        return plan_gather(shards_, gatherers_, directory, own_name, now_);
    }
    [[nodiscard]] base::zone_id zone_of(const base::vm_id& name) const
    {
        return std::find_if(gatherers_.begin(), gatherers_.end(),
                            [&](const auto& one) { return one.name == name; })
            ->zone;
    }
    // The zone that each shard is gathered in.
    [[nodiscard]] std::map<std::size_t, base::zone_id>
    zones_of(const std::vector<gather_group>& groups) const
    {
        std::map<std::size_t, base::zone_id> result;
        for (const gather_group& group : groups) {
            for (const std::size_t shard : group.shards) {
                EXPECT_TRUE(result.emplace(shard, zone_of(group.gatherer)).second);
            }
        }
        return result;
    }

    base::instant now_{1'000'000};
    target_directory directory_{{base::zone_id("z0"), "vm-1", base::duration(800)}};
    std::vector<deployment::listed_target> targets_;
    std::vector<base::service_id> shards_;
    std::vector<deployment::gatherer> gatherers_;
};

// Guards against one VM, or one gatherer, that handles most parts of a query.
TEST_F(gather_plan_test, a_large_query_is_divided_evenly)
{
    use(180);
    const auto groups = plan();
    EXPECT_EQ(zones_of(groups).size(), 180U);
    for (const gather_group& group : groups) {
        EXPECT_LE(group.shards.size(), max_shards_per_gatherer);
        EXPECT_GE(group.shards.size(), 10U);
    }
    EXPECT_GE(groups.size(), zones);
}

// Guards against parts that cross zones, and against gatherers that need connections to
// every target because each VM divides a query in another way.
TEST_F(gather_plan_test, every_vm_gathers_a_shard_in_the_same_zone_that_has_it)
{
    use(180);
    const auto by_one = zones_of(plan("vm-1"));
    EXPECT_EQ(by_one, zones_of(plan("vm-2")));
    for (const auto& planned : by_one) {
        const auto usable = directory_.usable_zones(shards_[planned.first], now_);
        EXPECT_TRUE(std::any_of(usable.begin(), usable.end(),
                                [&](const auto* one) { return *one == planned.second; }));
    }
    std::set<base::vm_id> used;
    for (std::size_t vm = 0; vm < 40; ++vm) {
        for (const gather_group& group : plan_in(vm, "vm-" + std::to_string(vm))) {
            used.insert(group.gatherer);
        }
    }
    EXPECT_EQ(used.size(), gatherers_.size());
}

// Guards against parts that cross zones although the own one has a target of the shard.
TEST_F(gather_plan_test, what_the_own_zone_has_is_gathered_there)
{
    use(180);
    for (std::size_t zone = 0; zone < zones; ++zone) {
        std::size_t own = 0;
        for (const auto& [shard, where] : zones_of(plan_in(zone, "vm-1"))) {
            own += where == base::zone_id(zone_name(zone)) ? 1 : 0;
        }
        // Each zone has a target of every second shard.
        EXPECT_EQ(own, 90U);
    }
}

// Guards against parts that wait for targets of the own zone which do badly for all VMs.
TEST_F(gather_plan_test, a_suspect_of_the_own_zone_is_left_for_another_zone)
{
    use(180);
    directory_.set_suspects({base::target_id("t0"), base::target_id("t8")});
    const auto planned = zones_of(plan());
    EXPECT_NE(planned.at(0), base::zone_id("z0"));
    EXPECT_NE(planned.at(2), base::zone_id("z0"));
    EXPECT_EQ(planned.at(4), base::zone_id("z0"));
}

// Guards against shards that wait for a zone whose gatherers are gone.
TEST_F(gather_plan_test, without_a_gatherer_in_its_zones_a_shard_is_in_no_group)
{
    use(180);
    const std::size_t removed_zones = 3;
    for (std::size_t zone = 0; zone < removed_zones; ++zone) {
        std::erase_if(gatherers_, [&](const auto& one) {
            return one.zone == base::zone_id(zone_name(2 * zone));
        });
    }
    const auto planned = zones_of(plan());
    // The targets of every second shard are all in those zones.
    EXPECT_EQ(planned.size(), 90U);
    gatherers_.clear();
    EXPECT_TRUE(plan().empty());
}

// Guards against shards that are gathered where they can't be used.
TEST_F(gather_plan_test, a_zone_without_usable_targets_is_avoided)
{
    use(180);
    directory_.set_evacuated({base::zone_id("z0")}, now_);
    for (const auto& [shard, zone] : zones_of(plan())) {
        EXPECT_NE(zone, base::zone_id("z0"));
    }
    EXPECT_EQ(zones_of(plan()).size(), 180U);
}

// Guards against a hop that costs more than it saves.
TEST_F(gather_plan_test, a_small_query_is_not_divided)
{
    use(min_shards_to_gather - 1);
    EXPECT_TRUE(plan().empty());
}

// Guards against a query that is given away and still gathered in several zones, and
// against shards that are lost because the other zone can't serve them.
TEST_F(gather_plan_test, a_query_that_leaves_goes_to_one_zone_as_far_as_that_has_targets)
{
    use(180);
    const base::zone_id away("z2");
    directory_.set_suspects({base::target_id("t1")});
    const auto planned =
        zones_of(plan_gather(shards_, gatherers_, directory_, "vm-1", now_, &away));
    EXPECT_EQ(planned.size(), 180U);
    std::size_t left = 0;
    for (const auto& [shard, zone] : planned) {
        left += zone == away ? 1 : 0;
    }
    // All of the 90 shards of that zone but the one whose target there does badly.
    EXPECT_EQ(left, 89U);
    EXPECT_EQ(planned.at(0), base::zone_id("z0"));
    std::erase_if(gatherers_, [&away](const auto& one) { return one.zone == away; });
    EXPECT_EQ(zones_of(plan_gather(shards_, gatherers_, directory_, "vm-1", now_, &away)),
              zones_of(plan()));
}

// Guards against late parts that each cross zones on a connection of their own.
TEST_F(gather_plan_test, second_sends_to_another_zone_go_through_its_gatherer)
{
    use(180);
    const auto send_to = [](std::size_t target) {
        return send_action{static_cast<call_id>(target), target / copies,
                           base::target_id("t" + std::to_string(target)), "hedge"};
    };
    // Zones 0, 2, 2 and 4.
    const std::vector<send_action> sends{send_to(0), send_to(1), send_to(6), send_to(2)};
    const auto groups = plan_second_sends(sends, gatherers_, directory_, "vm-1");
    ASSERT_EQ(groups.size(), 1U);
    EXPECT_EQ(zone_of(groups[0].gatherer), base::zone_id("z2"));
    EXPECT_EQ(groups[0].sends, (std::vector<std::size_t>{1, 2}));
    EXPECT_TRUE(plan_second_sends(sends, {}, directory_, "vm-1").empty());
}

} // namespace
} // namespace curranthoist::forwarding
