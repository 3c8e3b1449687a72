#include "curranthoist/admission/query_limiter.hpp"

#include <gtest/gtest.h>

namespace curranthoist::admission {
namespace {

using namespace base::literals;

// Offers 100 queries of 10 parts each 100 ms; the owners run `capacity` of them and shed
// the parts of the rest. Returns the queries that started in the last round.
int offer_load(query_limiter& limiter, base::instant& now, int rounds, int capacity)
{
    constexpr int offered = 100;
    constexpr int parts = 10;
    int started = 0;
    for (int round = 0; round < rounds; ++round) {
        started = 0;
        for (int query = 0; query < offered; ++query) {
            started += limiter.try_start(now) ? 1 : 0;
        }
        for (int part = 0; part < started * parts; ++part) {
            limiter.on_part(now, part >= capacity * parts, 1);
        }
        now = now + 100_ms;
        for (int query = 0; query < started; ++query) {
            limiter.on_finish(now);
        }
    }
    return started;
}

TEST(query_limiter_test, survivors_of_a_lost_zone_are_not_offered_the_whole_load)
{
    query_limiter limiter;
    base::instant now(1000);
    EXPECT_GE(offer_load(limiter, now, 60, 100), 100);
    EXPECT_LE(offer_load(limiter, now, 20, 30), 40);
    EXPECT_GE(offer_load(limiter, now, 80, 100), 95);
}

TEST(query_limiter_test, a_refused_query_does_not_count_as_running)
{
    query_limiter_options options;
    options.first_limit = 1;
    query_limiter limiter(options);
    const base::instant now(1000);
    EXPECT_TRUE(limiter.try_start(now));
    EXPECT_FALSE(limiter.try_start(now));
    limiter.on_finish(now);
    EXPECT_TRUE(limiter.try_start(now));
    EXPECT_EQ(limiter.running(), 1U);
}

TEST(query_limiter_test, the_limit_never_falls_so_far_that_nothing_can_raise_it)
{
    query_limiter limiter;
    base::instant now(1000);
    EXPECT_GE(offer_load(limiter, now, 100, 0), 1);
}

} // namespace
} // namespace curranthoist::admission
