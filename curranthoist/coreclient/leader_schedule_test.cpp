#include "curranthoist/coreclient/leader_schedule_test.hpp"

#include <gtest/gtest.h>

namespace curranthoist::coreclient {
namespace {

using testing_support::leader_schedule;
using testing_support::versions;

constexpr std::uint64_t schedules = 150;
constexpr std::uint64_t steps = 40'000;

// Guards against a member that acts under another term than that of its election, or
// before it has heard others after it stood still, and against a front that follows an
// earlier leader than the latest it has heard of, or keeps its list.
TEST(leader_schedule_test, members_act_in_their_terms_and_fronts_follow_the_latest)
{
    std::size_t terms = 0;
    std::size_t dropped = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        leader_schedule schedule(seed, versions::all_new);
        ASSERT_EQ(schedule.run(steps), "") << "seed " << seed;
        terms += schedule.terms_led();
        dropped += schedule.lists_dropped();
    }
    // The schedules reach what they are for.
    EXPECT_GT(terms, schedules * 3);
    EXPECT_GT(dropped, schedules / 3);
}

// Guards against fronts that keep a list which a member of the version before published
// under its successor's term, and against fronts that are left without a leader while
// members are updated.
TEST(leader_schedule_test, fronts_end_with_the_leaders_list_beside_members_of_before)
{
    std::size_t foreign_lists = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        leader_schedule schedule(seed, versions::mixed);
        ASSERT_EQ(schedule.run(steps), "") << "seed " << seed;
        foreign_lists += schedule.foreign_lists();
    }
    EXPECT_GT(foreign_lists, 0U);
}

// Guards against schedules that never reach the fault of
// docs/incidents/list-of-a-deposed-leader.md, which the version before has.
TEST(leader_schedule_test, check_detects_members_that_act_under_another_leaders_term)
{
    bool is_found = false;
    for (std::uint64_t seed = 1; seed <= schedules && !is_found; ++seed) {
        leader_schedule schedule(seed, versions::all_old);
        is_found = schedule.run(steps).find("was not elected") != std::string::npos;
    }
    EXPECT_TRUE(is_found);
}

} // namespace
} // namespace curranthoist::coreclient
