#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/deployment/deployment_state.hpp"

#include <gtest/gtest.h>

namespace curranthoist::deployment {
namespace {

// Guards against a configuration that is replaced by one of an older or equal version,
// which happens if a command is applied without a comparison of versions.
TEST(deployment_state_test, only_a_higher_version_replaces_the_configuration)
{
    deployment_state state;
    state.apply(base::log_index(1), deployment_state::replace_configuration(7, "seven"));
    state.apply(base::log_index(2), deployment_state::replace_configuration(7, "other"));
    state.apply(base::log_index(3), deployment_state::replace_configuration(5, "five"));
    EXPECT_EQ(state.version(), 7U);
    EXPECT_EQ(state.document(), "seven");
    EXPECT_EQ(state.changed_at(), base::log_index(1));
}

// Guards against a log snapshot that omits an evacuation: a member that restores it would
// then send requests to the evacuated zone.
TEST(deployment_state_test, a_snapshot_restores_configuration_and_evacuations)
{
    deployment_state state;
    state.apply(base::log_index(1), deployment_state::replace_configuration(2, "two"));
    state.apply(base::log_index(2),
                deployment_state::change_evacuation(base::zone_id("a"), true));
    state.apply(base::log_index(3),
                deployment_state::change_evacuation(base::zone_id("b"), true));
    state.apply(base::log_index(4),
                deployment_state::change_evacuation(base::zone_id("a"), false));
    deployment_state copy;
    copy.restore(state.snapshot());
    EXPECT_EQ(copy.document(), "two");
    EXPECT_EQ(copy.evacuated(), std::set<base::zone_id>{base::zone_id("b")});
    EXPECT_EQ(copy.changed_at(), base::log_index(4));
}

rollout make_order(const std::string& target, const std::string& base,
                   std::int64_t ordered_at)
{
    return {base::service_id("s"), target, base, base::duration(12'000),
            base::instant(ordered_at)};
}

// Guards against an order that a repeated or competing one replaces or restarts: the
// targets of a version that was rolled back would get requests again.
TEST(deployment_state_test, a_rollout_is_neither_replaced_nor_restarted)
{
    deployment_state state;
    const rollout order = make_order("v2", "v1", 1000);
    state.apply(base::log_index(1), deployment_state::start_rollout(order));
    state.apply(base::log_index(2),
                deployment_state::start_rollout(make_order("v3", "v1", 2000)));
    state.apply(base::log_index(3),
                deployment_state::start_rollout(make_order("v2", "v1", 3000)));
    EXPECT_EQ(state.changed_at(), base::log_index(1));
    const rollout& stored = state.rollouts().at(order.service);
    EXPECT_TRUE(stored.same_order(order));
    EXPECT_EQ(stored.phase, rollout_phase::running);
    state.apply(base::log_index(4),
                deployment_state::end_rollout(order, rollout_phase::rolled_back));
    state.apply(base::log_index(5),
                deployment_state::end_rollout(order, rollout_phase::completed));
    state.apply(base::log_index(6),
                deployment_state::start_rollout(make_order("v2", "v1", 9000)));
    EXPECT_EQ(state.changed_at(), base::log_index(4));
    EXPECT_EQ(stored.phase, rollout_phase::rolled_back);
    EXPECT_EQ(stored.excluded_versions, std::set<std::string>{"v2"});
}

// Guards against an end that is decided for an earlier order and applied to the next one
// of the same service.
TEST(deployment_state_test, an_end_applies_only_to_its_own_order)
{
    deployment_state state;
    const rollout first = make_order("v2", "v1", 1000);
    const rollout second = make_order("v3", "v1", 2000);
    state.apply(base::log_index(1), deployment_state::start_rollout(first));
    state.apply(base::log_index(2),
                deployment_state::end_rollout(first, rollout_phase::rolled_back));
    state.apply(base::log_index(3), deployment_state::start_rollout(second));
    state.apply(base::log_index(4),
                deployment_state::end_rollout(first, rollout_phase::completed));
    EXPECT_EQ(state.rollouts().at(first.service).phase, rollout_phase::running);
    state.apply(base::log_index(5),
                deployment_state::end_rollout(second, rollout_phase::completed));
    EXPECT_EQ(state.rollouts().at(first.service).excluded_versions,
              (std::set<std::string>{"v1", "v2"}));
}

// Guards against an acknowledged roll-out that a log snapshot loses, and against a
// snapshot of a program without roll-outs that can't be read.
TEST(deployment_state_test, a_snapshot_restores_rollouts)
{
    deployment_state state;
    const rollout order = make_order("v2", "v1", 1000);
    state.apply(base::log_index(1), deployment_state::start_rollout(order));
    state.apply(base::log_index(2),
                deployment_state::end_rollout(order, rollout_phase::completed));
    deployment_state copy;
    copy.restore(state.snapshot());
    const rollout& stored = copy.rollouts().at(order.service);
    EXPECT_TRUE(stored.same_order(order));
    EXPECT_EQ(stored.base_version, "v1");
    EXPECT_EQ(stored.duration, order.duration);
    EXPECT_EQ(stored.phase, rollout_phase::completed);
    EXPECT_EQ(stored.excluded_versions, std::set<std::string>{"v1"});
    wire::deployment_snapshot_message old_format;
    old_format.index = 1;
    copy.restore(wire::encode_frame(std::move(old_format)));
    EXPECT_TRUE(copy.rollouts().empty());
}

// Guards against damaged bytes that are decoded as an empty state, which would delete the
// configuration.
TEST(deployment_state_test, damaged_bytes_are_refused)
{
    deployment_state state;
    const std::vector<std::uint8_t> damaged{1, 2, 3, 4, 5, 6};
    EXPECT_THROW(state.restore(damaged), base::findings_error);
    state.apply(base::log_index(1), damaged);
    EXPECT_EQ(state.version(), 0U);
}

} // namespace
} // namespace curranthoist::deployment
