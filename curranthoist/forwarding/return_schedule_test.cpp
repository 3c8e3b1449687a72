#include "curranthoist/forwarding/return_schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <vector>

namespace curranthoist::forwarding {
namespace {

using namespace base::literals;

const base::service_id service("s");

// A schedule that has seen requests served at the interval until `end`.
return_schedule served(base::duration interval, base::instant end)
{
    return_schedule schedule;
    for (base::instant at = end - interval * 50; at <= end; at = at + interval) {
        schedule.on_served(service, at);
    }
    return schedule;
}

// Guards against a pause that goes beyond what callers wait although no target wants it,
// or below the minimum.
TEST(return_schedule_test, pauses_stay_between_the_minimum_and_a_third_of_the_time_left)
{
    return_schedule schedule;
    base::instant now(1'000'000);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 900_ms}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 5_s, 900_ms}, now), 5_s);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 120_ms, 900_ms}, now), 120_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 3_ms}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 900_ms}, now + 1500_ms), 300_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 0_ms - 10_ms}, now), 50_ms);
}

// Guards against callers that lose an attempt because they come back while a shortage
// that has lasted for long still lasts.
TEST(return_schedule_test, pauses_grow_with_the_age_of_the_shortage)
{
    return_schedule schedule;
    const base::instant begin(1'000'000);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 3_s}, begin), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 3_s}, begin + 400_ms), 400_ms);
    // One served request does not end a shortage; several in a row do.
    schedule.on_served(service, begin + 500_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 3_s}, begin + 600_ms), 600_ms);
    for (int i = 0; i < 5; ++i) {
        schedule.on_served(service, begin + 700_ms + 10_ms * i);
    }
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 3_s}, begin + 900_ms), 50_ms);
    // So is a rejection long after the last one.
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 3_s}, begin + 60_s), 50_ms);
}

// Guards against less urgent callers that come back ahead of more urgent ones, and
// against urgent ones that wait behind them.
TEST(return_schedule_test, less_urgent_callers_come_after_the_more_urgent_ones)
{
    const base::instant now(1'000'000);
    return_schedule schedule = served(20_ms, now);
    EXPECT_EQ(schedule.reserve(service, {{0, 2}, 0_ms, 9_s}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 2}, 0_ms, 9_s}, now), 70_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 9_s}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 9_s}, now), 70_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 1}, 0_ms, 9_s}, now), 90_ms);
    // Another service has places of its own.
    EXPECT_EQ(schedule.reserve(base::service_id("t"), {{0, 2}, 0_ms, 9_s}, now), 50_ms);
}

// Guards against a team whose many returning callers push back those of the other teams.
TEST(return_schedule_test, callers_of_a_team_above_its_share_come_after_the_others)
{
    const base::instant now(1'000'000);
    return_schedule schedule = served(20_ms, now);
    EXPECT_EQ(schedule.reserve(service, {{0, 1}, 0_ms, 9_s, true}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 1}, 0_ms, 9_s, true}, now), 70_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 1}, 0_ms, 9_s, false}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 1}, 0_ms, 9_s, false}, now), 70_ms);
    // Priority goes first.
    EXPECT_EQ(schedule.reserve(service, {{0, 0}, 0_ms, 9_s, true}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 2}, 0_ms, 9_s, false}, now), 90_ms);
}

// Guards against urgent teams that wait behind routine ones whose routes are urgent.
TEST(return_schedule_test, the_priority_of_the_team_goes_before_that_of_the_route)
{
    const base::instant now(1'000'000);
    return_schedule schedule = served(20_ms, now);
    EXPECT_EQ(schedule.reserve(service, {{1, 0}, 0_ms, 9_s}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 2}, 0_ms, 9_s}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{0, 1}, 0_ms, 9_s}, now), 50_ms);
    EXPECT_EQ(schedule.reserve(service, {{1, 0}, 0_ms, 9_s}, now), 70_ms);
}

// What callers got in one replay.
struct replay_result
{
    std::size_t callers = 0;
    std::size_t served = 0;
    std::size_t rejections = 0;
    // The most callers that came in one millisecond.
    std::size_t largest_crowd = 0;
};

// Replays callers that arrive every 10 ms for 6 s, with 600 ms and two attempts each, at
// a service that takes nothing for `outage`, then a request each 20 ms for one second, as
// cold targets do, and one each 5 ms at other times.
class shortage_replay
{
public:
    using pause_rule =
        std::function<base::duration(base::duration time_left, base::instant now)>;

    explicit shortage_replay(base::duration outage)
        : outage_(outage)
    {}

    replay_result run(const pause_rule& pause,
                      const std::function<void(base::instant)>& on_served)
    {
        replay_result result;
        for (base::instant now = begin_; now < begin_ + 8_s; now = now + 1_ms) {
            if ((now - begin_).count() % 10 == 0 && now < begin_ + 6_s) {
                callers_.insert({now, {now + 600_ms, 2}});
                ++result.callers;
            }
            const std::size_t crowd = callers_.count(now);
            result.largest_crowd = std::max(result.largest_crowd, crowd);
            while (!callers_.empty() && callers_.begin()->first <= now) {
                caller one = callers_.begin()->second;
                callers_.erase(callers_.begin());
                if (takes(now)) {
                    next_free_ = now + service_interval(now);
                    ++result.served;
                    on_served(now);
                    continue;
                }
                ++result.rejections;
                const base::duration left = one.deadline - now;
                const base::duration wait = pause(left, now);
                if (--one.attempts > 0 && wait <= left / 3) {
                    callers_.insert({now + wait, one});
                }
            }
        }
        return result;
    }

private:
    struct caller
    {
        base::instant deadline;
        int attempts = 0;
    };

    [[nodiscard]] bool takes(base::instant now) const
    {
        const bool out = now >= begin_ + 2_s && now < begin_ + 2_s + outage_;
        return !out && now >= next_free_;
    }
    [[nodiscard]] base::duration service_interval(base::instant now) const
    {
        const base::instant back = begin_ + 2_s + outage_;
        return now >= back && now < back + 1_s ? 20_ms : 5_ms;
    }

    base::instant begin_{1'000'000};
    base::duration outage_;
    base::instant next_free_;
    std::multimap<base::instant, caller> callers_;
};

// Guards against a schedule with which fewer callers are served than with one constant
// pause, in any shortage, or not clearly more in shortages of some length.
TEST(return_schedule_test, more_callers_are_served_than_with_a_constant_pause)
{
    std::size_t lost_with = 0;
    std::size_t lost_without = 0;
    for (const base::duration outage : {20_ms, 60_ms, 150_ms, 300_ms, 600_ms, 1200_ms}) {
        const replay_result constant = shortage_replay(outage).run(
            [](base::duration, base::instant) { return 50_ms; }, [](base::instant) {});
        return_schedule schedule;
        const replay_result scheduled = shortage_replay(outage).run(
            [&](base::duration left, base::instant now) {
                return schedule.reserve(service, {{0, 0}, 0_ms, left}, now);
            },
            [&](base::instant now) { schedule.on_served(service, now); });
        EXPECT_GE(scheduled.served, constant.served) << outage.count();
        EXPECT_LE(scheduled.rejections, constant.rejections) << outage.count();
        EXPECT_LE(scheduled.largest_crowd, 3U) << outage.count();
        lost_with += scheduled.callers - scheduled.served;
        lost_without += constant.callers - constant.served;
        std::cout << "outage " << outage.count() << " ms: lost "
                  << constant.callers - constant.served << " of " << constant.callers
                  << " with a constant pause, " << scheduled.callers - scheduled.served
                  << " with the schedule\n";
    }
    EXPECT_LT(lost_with, lost_without);
}

} // namespace
} // namespace curranthoist::forwarding
