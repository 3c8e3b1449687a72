#include "curranthoist/forwarding/send_margin.hpp"

#include <gtest/gtest.h>

namespace curranthoist::forwarding {
namespace {

using base::duration;

constexpr duration objective{80};

duration margin_after(duration took)
{
    send_margin margin;
    for (int i = 0; i < 100; ++i) {
        margin.add(took);
    }
    return margin.margin(objective);
}

// Guards against answers of a busy process that miss the objective by little, and against
// a margin that leaves no time for the parts.
TEST(send_margin_test, the_margin_follows_recent_answers_within_bounds)
{
    EXPECT_EQ(send_margin().margin(objective), send_margin::min_margin);
    EXPECT_EQ(margin_after(duration(0)), send_margin::min_margin);
    EXPECT_EQ(margin_after(duration(9)), duration(20));
    EXPECT_EQ(margin_after(duration(500)), duration(26));
}

// Guards against bounds that cross on a route with a short objective.
TEST(send_margin_test, a_short_objective_keeps_the_least_margin)
{
    EXPECT_EQ(send_margin().margin(duration(20)), send_margin::min_margin);
}

// Guards against a VM that sees few queries and learns its margin only after minutes, and
// against one answer that sets the margin alone.
TEST(send_margin_test, a_few_answers_count)
{
    send_margin margin;
    for (int i = 0; i < 4; ++i) {
        margin.add(duration(9));
    }
    EXPECT_EQ(margin.margin(objective), send_margin::min_margin);
    EXPECT_EQ(margin.lateness(duration(14)), 0);
    margin.add(duration(9));
    EXPECT_EQ(margin.margin(objective), duration(20));
    EXPECT_EQ(margin.lateness(duration(14)), 1);
    EXPECT_EQ(margin.lateness(duration(20)), 0);
}

} // namespace
} // namespace curranthoist::forwarding
