#include "curranthoist/admission/query_limiter.hpp"

#include <gtest/gtest.h>

namespace curranthoist::admission {
namespace {

using namespace base::literals;

// Offers 100 queries of 10 parts every 100 ms. The owners run `capacity` of them and shed
// the parts of the others. Returns the number of queries that started in the last round.
int offer_load(query_limiter& limiter, base::instant& now, int rounds, int capacity)
{
    constexpr int offered_count = 100;
    constexpr int part_count = 10;
    int started = 0;
    for (int round = 0; round < rounds; ++round) {
        started = 0;
        for (int query = 0; query < offered_count; ++query) {
            started += limiter.try_start(now) ? 1 : 0;
        }
        for (int part = 0; part < started * part_count; ++part) {
            limiter.on_part(now, part >= capacity * part_count, 1);
        }
        now = now + 100_ms;
        for (int query = 0; query < started; ++query) {
            limiter.on_finish(now);
        }
    }
    return started;
}

// Guards against a limit that stays at the load of all zones after a zone is lost, or
// that doesn't recover afterwards.
TEST(query_limiter_test, survivors_of_a_lost_zone_are_not_offered_the_whole_load)
{
    query_limiter limiter;
    base::instant now(1000);
    EXPECT_GE(offer_load(limiter, now, 60, 100), 100);
    EXPECT_LE(offer_load(limiter, now, 20, 30), 40);
    EXPECT_GE(offer_load(limiter, now, 80, 100), 95);
}

// Guards against refused queries that use up the limit: no query could then start.
TEST(query_limiter_test, a_refused_query_does_not_count_as_running)
{
    query_limiter_options options;
    options.initial_limit = 1;
    query_limiter limiter(options);
    const base::instant now(1000);
    EXPECT_TRUE(limiter.try_start(now));
    EXPECT_FALSE(limiter.try_start(now));
    limiter.on_finish(now);
    EXPECT_TRUE(limiter.try_start(now));
    EXPECT_EQ(limiter.running(), 1U);
}

// Guards against a limit of 0 after long overload: no query would run that could raise
// it.
TEST(query_limiter_test, the_limit_never_falls_so_far_that_nothing_can_raise_it)
{
    query_limiter limiter;
    base::instant now(1000);
    EXPECT_GE(offer_load(limiter, now, 100, 0), 1);
}

} // namespace
} // namespace curranthoist::admission
