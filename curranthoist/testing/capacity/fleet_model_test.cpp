#include "curranthoist/testing/capacity/fleet_model.hpp"

#include <gtest/gtest.h>

namespace curranthoist::testing {
namespace {

using namespace base::literals;

TEST(fleet_model_test, every_target_of_a_lost_vm_gets_a_living_owner)
{
    fleet_model fleet({12, 80});
    fleet.run_until_assigned(30_s);
    fleet.stop_vm(3);
    const base::duration took = fleet.run_until_assigned(30_s);
    // The lease, its margin and the next heartbeats.
    EXPECT_GE(took, 4_s);
    EXPECT_LE(took, 6_s);
}

TEST(fleet_model_test, a_change_reaches_every_vm)
{
    fleet_model fleet({12, 80});
    fleet.run_until_assigned(30_s);
    fleet.run(5_s);
    fleet.reset_traffic();
    fleet.change_limit();
    EXPECT_EQ(fleet.traffic().commands, 1U);
    EXPECT_GE(fleet.traffic().messages, 12U);
}

} // namespace
} // namespace curranthoist::testing
