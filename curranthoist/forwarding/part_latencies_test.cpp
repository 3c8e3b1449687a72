#include "curranthoist/forwarding/part_latencies.hpp"

#include <gtest/gtest.h>

namespace curranthoist::forwarding {
namespace {

using base::duration;

// Guards against queries that end early on the word of a few parts.
TEST(part_latencies_test, without_history_every_part_is_expected)
{
    part_latencies parts;
    EXPECT_EQ(parts.chance(duration(10), duration(10)), 1);
    for (int i = 0; i < 10; ++i) {
        parts.add(duration(5));
    }
    EXPECT_EQ(parts.chance(duration(10), duration(10)), 1);
    EXPECT_EQ(parts.chance(duration(10), duration(0)), 0);
}

// Guards against a chance that leaves out how long a part has been out: of the parts that
// are out for 20 ms, half come at 50 ms and half at 200 ms.
TEST(part_latencies_test, the_chance_is_that_of_parts_which_are_out_as_long)
{
    part_latencies parts;
    for (int i = 0; i < 640; ++i) {
        parts.add(duration(i % 10 == 0 ? 50 : i % 10 == 1 ? 200 : 10));
    }
    EXPECT_NEAR(parts.chance(duration(0), duration(30)), 0.8, 0.01);
    EXPECT_NEAR(parts.chance(duration(20), duration(40)), 0.5, 0.01);
    EXPECT_NEAR(parts.chance(duration(60), duration(40)), 0, 0.01);
}

// Guards against a distribution of parts that came in time only: it would expect the
// paused ones at the end of the wait.
TEST(part_latencies_test, parts_that_did_not_come_count_as_out)
{
    part_latencies parts;
    for (int i = 0; i < 640; ++i) {
        if (i % 10 == 0) {
            parts.add_unfinished(duration(66));
        }
        else {
            parts.add(duration(i % 10 == 1 ? 40 : 10));
        }
    }
    EXPECT_NEAR(parts.chance(duration(20), duration(40)), 0.5, 0.01);
    EXPECT_NEAR(parts.chance(duration(45), duration(20)), 0, 0.01);
}

// Guards against a route that keeps its old speed for ever.
TEST(part_latencies_test, old_samples_lose_weight)
{
    part_latencies parts;
    for (int i = 0; i < 10'000; ++i) {
        parts.add(duration(10));
    }
    for (int i = 0; i < 10'000; ++i) {
        parts.add(duration(100));
    }
    EXPECT_LT(parts.chance(duration(0), duration(50)), 0.1);
}

} // namespace
} // namespace curranthoist::forwarding
