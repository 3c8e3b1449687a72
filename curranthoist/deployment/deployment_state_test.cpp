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
