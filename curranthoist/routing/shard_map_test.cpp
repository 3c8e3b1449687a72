#include "curranthoist/routing/shard_map.hpp"
#include "curranthoist/routing/snapshot_choice.hpp"

#include <gtest/gtest.h>

namespace curranthoist::routing {
namespace {

const base::service_id service("search");

// Two shards with two targets each, all holding version 1; "t-0a" is shard 0 in zone a.
class shard_map_test : public testing::Test
{
public:
    shard_map_test()
    {
        configuration.services[service] = {};
        for (const char* zone : {"a", "b"}) {
            configuration.zones[base::zone_id(zone)] = {};
            for (std::uint64_t shard = 0; shard < 2; ++shard) {
                const base::target_id id("t-" + std::to_string(shard) + zone);
                configuration.targets[id].service = service;
                configuration.targets[id].zone = base::zone_id(zone);
                configuration.assignments[id].owner = base::vm_id("vm-1");
                hold(id, 1, shard, 2);
            }
        }
    }

    void hold(const base::target_id& id, std::uint64_t version, std::uint64_t shard,
              std::uint32_t shards)
    {
        facts[id].snapshots.push_back(
            {base::snapshot_version(version), base::shard_number(shard), shards});
    }

    std::shared_ptr<const service_map> map() const
    {
        return shard_map(configuration, facts).find(service);
    }

    std::size_t usable(std::uint64_t version = 1) const
    {
        std::size_t count = 0;
        const auto held = map();
        for (const auto& shard :
             held->snapshots.at(base::snapshot_version(version)).shards) {
            count += shard.size();
        }
        return count;
    }

    std::uint64_t chosen() const
    {
        return choose_snapshot(*map(), excluded)
            .value_or(base::snapshot_version(0))
            .value();
    }

    control::configuration configuration;
    shard_map::fact_map facts;
    std::vector<base::snapshot_version> excluded;
    const base::target_id first{"t-0a"};
};

TEST_F(shard_map_test, no_work_goes_to_a_target_that_is_leaving_or_lost)
{
    EXPECT_EQ(usable(), 4U);
    configuration.targets[first].in_service = false;
    EXPECT_EQ(usable(), 3U);
    configuration.targets[first].in_service = true;
    configuration.assignments[first].phase = control::assignment_phase::releasing;
    EXPECT_EQ(usable(), 3U);
    configuration.assignments.erase(first);
    EXPECT_EQ(usable(), 3U);
    configuration.assignments[first].owner = base::vm_id("vm-2");
    facts[first].reachable = false;
    EXPECT_EQ(usable(), 3U);
    facts[first].reachable = true;
    facts[first].draining = true;
    EXPECT_EQ(usable(), 3U);
}

TEST_F(shard_map_test, a_zone_out_of_service_gets_no_work)
{
    configuration.zones[base::zone_id("a")].in_service = false;
    EXPECT_EQ(usable(), 2U);
    EXPECT_EQ(map()->targets.size(), 2U);
}

TEST_F(shard_map_test, a_shard_without_targets_still_counts_as_missing)
{
    facts.erase(base::target_id("t-1a"));
    facts.erase(base::target_id("t-1b"));
    const auto view = map()->snapshots.at(base::snapshot_version(1));
    EXPECT_EQ(view.shards.size(), 2U);
    EXPECT_EQ(view.usable_shards(), 1U);
}

TEST_F(shard_map_test, facts_with_impossible_shards_are_ignored)
{
    hold(first, 9, 3, 3);
    hold(first, 8, 0, 4'000'000'000U);
    EXPECT_EQ(map()->snapshots.size(), 1U);
}

// Each version of a map of 65,536 shards takes 1.5 MB; one damaged fact could name enough
// of them to exhaust the memory.
TEST_F(shard_map_test, a_fact_with_many_large_snapshots_takes_bounded_memory)
{
    for (std::uint64_t version = 100; version < 164; ++version) {
        hold(first, version, 0, shard_map::max_shards);
    }
    const auto held = map();
    std::size_t shards = 0;
    for (const auto& [version, view] : held->snapshots) {
        shards += view.shards.size();
    }
    EXPECT_LE(shards, 16U * shard_map::max_shards);
    EXPECT_TRUE(held->snapshots.contains(base::snapshot_version(1)));
}

TEST_F(shard_map_test, an_unknown_service_has_no_map)
{
    EXPECT_EQ(shard_map(configuration, facts).find(base::service_id("x")), nullptr);
}

TEST_F(shard_map_test, the_newest_complete_snapshot_is_chosen)
{
    hold(first, 2, 0, 2);
    EXPECT_EQ(chosen(), 1U) << "a version that is still being loaded must wait";
    hold(base::target_id("t-1a"), 2, 1, 2);
    EXPECT_EQ(chosen(), 2U);
    excluded.emplace_back(2);
    EXPECT_EQ(chosen(), 1U);
    excluded.emplace_back(1);
    EXPECT_EQ(chosen(), 0U);
}

TEST_F(shard_map_test, without_a_complete_snapshot_the_highest_fraction_is_chosen)
{
    facts[base::target_id("t-1a")].reachable = false;
    facts[base::target_id("t-1b")].reachable = false;
    hold(first, 2, 0, 2);
    EXPECT_EQ(chosen(), 2U) << "the newest on a tie";
    hold(first, 3, 0, 3);
    EXPECT_EQ(chosen(), 2U) << "one of two is more than one of three";
}

} // namespace
} // namespace curranthoist::routing
