#include "curranthoist/routing/shard_map.hpp"
#include "curranthoist/routing/snapshot_choice.hpp"

#include <gtest/gtest.h>

namespace curranthoist::routing {
namespace {

const base::service_id service("search");

// Two shards with two targets each. All targets hold version 1. Target "t-0a" serves
// shard 0 in zone a.
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
                report_snapshot(id, 1, shard, 2);
            }
        }
    }

    void report_snapshot(const base::target_id& id, std::uint64_t version,
                         std::uint64_t shard, std::uint32_t shards)
    {
        target_reports[id].snapshots.push_back(
            {base::snapshot_version(version), base::shard_number(shard), shards});
    }

    std::shared_ptr<const service_map> map() const
    {
        return shard_map(configuration, target_reports).find(service);
    }

    std::size_t usable_replica_count(std::uint64_t version = 1) const
    {
        std::size_t count = 0;
        const auto current_map = map();
        for (const auto& shard :
             current_map->snapshots.at(base::snapshot_version(version)).shards) {
            count += shard.size();
        }
        return count;
    }

    std::uint64_t chosen_version() const
    {
        return choose_snapshot(*map(), excluded)
            .value_or(base::snapshot_version(0))
            .value();
    }

    control::configuration configuration;
    shard_map::target_report_map target_reports;
    std::vector<base::snapshot_version> excluded;
    const base::target_id first{"t-0a"};
};

TEST_F(shard_map_test, no_work_goes_to_a_target_that_is_leaving_or_lost)
{
    EXPECT_EQ(usable_replica_count(), 4U);
    configuration.targets[first].in_service = false;
    EXPECT_EQ(usable_replica_count(), 3U);
    configuration.targets[first].in_service = true;
    configuration.assignments[first].phase = control::assignment_phase::releasing;
    EXPECT_EQ(usable_replica_count(), 3U);
    configuration.assignments.erase(first);
    EXPECT_EQ(usable_replica_count(), 3U);
    configuration.assignments[first].owner = base::vm_id("vm-2");
    target_reports[first].reachable = false;
    EXPECT_EQ(usable_replica_count(), 3U);
    target_reports[first].reachable = true;
    target_reports[first].draining = true;
    EXPECT_EQ(usable_replica_count(), 3U);
}

TEST_F(shard_map_test, a_zone_out_of_service_gets_no_work)
{
    configuration.zones[base::zone_id("a")].in_service = false;
    EXPECT_EQ(usable_replica_count(), 2U);
    EXPECT_EQ(map()->targets.size(), 2U);
}

TEST_F(shard_map_test, a_shard_without_targets_still_counts_as_missing)
{
    target_reports.erase(base::target_id("t-1a"));
    target_reports.erase(base::target_id("t-1b"));
    const auto view = map()->snapshots.at(base::snapshot_version(1));
    EXPECT_EQ(view.shards.size(), 2U);
    EXPECT_EQ(view.usable_shards(), 1U);
}

TEST_F(shard_map_test, target_reports_with_impossible_shards_are_ignored)
{
    report_snapshot(first, 9, 3, 3);
    report_snapshot(first, 8, 0, 4'000'000'000U);
    EXPECT_EQ(map()->snapshots.size(), 1U);
}

// Each snapshot version with 65,536 shards takes 1.5 MB. One damaged target report could
// name enough versions to exhaust the memory.
TEST_F(shard_map_test, a_target_report_with_many_large_snapshots_takes_bounded_memory)
{
    for (std::uint64_t version = 100; version < 164; ++version) {
        report_snapshot(first, version, 0, shard_map::max_shards);
    }
    const auto current_map = map();
    std::size_t shards = 0;
    for (const auto& [version, view] : current_map->snapshots) {
        shards += view.shards.size();
    }
    EXPECT_LE(shards, 16U * shard_map::max_shards);
    EXPECT_TRUE(current_map->snapshots.contains(base::snapshot_version(1)));
}

TEST_F(shard_map_test, an_unknown_service_has_no_map)
{
    EXPECT_EQ(shard_map(configuration, target_reports).find(base::service_id("x")),
              nullptr);
}

TEST_F(shard_map_test, the_newest_complete_snapshot_is_chosen)
{
    report_snapshot(first, 2, 0, 2);
    EXPECT_EQ(chosen_version(), 1U) << "a version that is still being loaded must wait";
    report_snapshot(base::target_id("t-1a"), 2, 1, 2);
    EXPECT_EQ(chosen_version(), 2U);
    excluded.emplace_back(2);
    EXPECT_EQ(chosen_version(), 1U);
    excluded.emplace_back(1);
    EXPECT_EQ(chosen_version(), 0U);
}

TEST_F(shard_map_test, without_a_complete_snapshot_the_highest_fraction_is_chosen)
{
    target_reports[base::target_id("t-1a")].reachable = false;
    target_reports[base::target_id("t-1b")].reachable = false;
    report_snapshot(first, 2, 0, 2);
    EXPECT_EQ(chosen_version(), 2U) << "the newest on a tie";
    report_snapshot(first, 3, 0, 3);
    EXPECT_EQ(chosen_version(), 2U) << "one of two is more than one of three";
}

} // namespace
} // namespace curranthoist::routing
