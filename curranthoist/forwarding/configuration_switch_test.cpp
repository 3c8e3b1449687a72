#include "curranthoist/forwarding/configuration_switch.hpp"
#include "curranthoist/forwarding/target_directory.hpp"

#include <gtest/gtest.h>

namespace curranthoist::forwarding {
namespace {

using base::duration;
using base::instant;

configuration_switch::table_pointer table(std::uint64_t version, const std::string& shard)
{
    deployment::configuration source;
    source.version = version;
    deployment::route route;
    route.host = "h";
    route.path_prefix = "/";
    route.shards = {base::service_id(shard)};
    source.routes = {route};
    return std::make_shared<const deployment::route_table>(source);
}

deployment::listed_target target(const std::string& service, std::int64_t cold_ms)
{
    return {base::target_id(service + "-1"),
            base::service_id(service),
            base::zone_id("z"),
            {"10.0.0.1", 80},
            false,
            duration(cold_ms)};
}

class configuration_switch_test : public ::testing::Test
{
protected:
    std::uint64_t version_in_force()
    {
        switch_.update(targets_, now_);
        return switch_.current() ? switch_.current()->source().version : 0;
    }
    void list(std::int64_t cold_ms)
    {
        const std::vector<deployment::listed_target> targets{target("old", 0),
                                                             target("new", cold_ms)};
        targets_.apply({.targets = targets, .read_at = now_});
    }

    instant now_{100'000};
    target_directory targets_{{base::zone_id("z"), "vm-1", duration(800)}};
    configuration_switch switch_{duration(1500)};
};

// Guards against queries that fail for half a second because the shards of a new index
// are still cold, although the old shards still respond.
TEST_F(configuration_switch_test, new_shards_are_used_once_their_targets_are_warm)
{
    list(600);
    switch_.offer(table(1, "old"), now_);
    EXPECT_EQ(version_in_force(), 1U);
    switch_.offer(table(2, "new"), now_);
    EXPECT_EQ(version_in_force(), 1U);
    EXPECT_EQ(switch_.offered_version(), 2U);
    now_ = now_ + duration(1000);
    EXPECT_EQ(version_in_force(), 2U);
}

// Guards against a first query that pays for a handshake with each of a hundred new
// shards, and against waiting for connections that cannot be made.
TEST_F(configuration_switch_test, new_shards_are_used_once_they_are_connected)
{
    list(0);
    switch_.offer(table(1, "old"), now_);
    EXPECT_EQ(version_in_force(), 1U);
    switch_.offer(table(2, "new"), now_);
    EXPECT_EQ(version_in_force(), 1U);
    targets_.set_connections(base::target_id("new-1"), 1, now_);
    EXPECT_EQ(version_in_force(), 2U);
    switch_.offer(table(3, "old"), now_);
    EXPECT_EQ(version_in_force(), 2U);
    now_ = now_ + duration(900);
    EXPECT_EQ(version_in_force(), 3U);
}

// Guards against a configuration that never takes effect because its service has no
// target, and against a limit that each later configuration extends.
TEST_F(configuration_switch_test, the_limit_counts_from_the_oldest_pending_configuration)
{
    list(60'000);
    switch_.offer(table(1, "old"), now_);
    EXPECT_EQ(version_in_force(), 1U);
    switch_.offer(table(2, "new"), now_);
    now_ = now_ + duration(1000);
    switch_.offer(table(3, "new"), now_);
    EXPECT_EQ(version_in_force(), 1U);
    now_ = now_ + duration(500);
    EXPECT_EQ(version_in_force(), 3U);
}

// Guards against a delay of a configuration that adds no service.
TEST_F(configuration_switch_test, a_change_without_new_services_is_in_force_at_once)
{
    switch_.offer(table(1, "old"), now_);
    EXPECT_EQ(version_in_force(), 1U);
    switch_.offer(table(2, "old"), now_);
    EXPECT_EQ(version_in_force(), 2U);
}

} // namespace
} // namespace curranthoist::forwarding
