#include "curranthoist/base/random_source.hpp"
#include "curranthoist/cored/rollout_judge.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace curranthoist::cored {
namespace {

using deployment::rollout_phase;

constexpr base::duration duration{12'000};
constexpr base::duration report_interval{400};
constexpr double usual_requests_per_s = 40.0;
constexpr std::uint64_t seeds = 200;

// What the ordered version does with a request: the probability of a bad answer, by the
// time since the order, the share that the version gets, and the route of the request.
using badness = std::function<double(base::duration, double, bool first_route)>;

struct outcome
{
    rollout_phase verdict = rollout_phase::running;
    base::duration ended_at;
    std::uint64_t ordered = 0;
    std::uint64_t ordered_bad = 0;
    std::uint64_t all = 0;
};

// A third of the requests take the first route.
outcome replay(const badness& ordered_bad, std::uint64_t seed, double old_bad,
               double requests_per_s)
{
    base::random_source random(seed);
    const auto draw = [&random] {
        return static_cast<double>(random.next() % 1'000'000) / 1'000'000;
    };
    const base::instant start(1000);
    rollout_judge judge({}, duration, start);
    outcome result;
    double credit = 0;
    // Counts reach the leader one interval later, and the share another one.
    rollout_judge::counts old_on_way;
    rollout_judge::counts ordered_on_way;
    double share = judge.share();
    for (base::duration at; at < duration; at += report_interval) {
        const double next_share = judge.share();
        rollout_judge::counts old_now;
        rollout_judge::counts ordered_now;
        const int requests = static_cast<int>(requests_per_s * report_interval.seconds());
        for (int i = 0; i < requests; ++i) {
            ++result.all;
            credit += share;
            const bool first_route = draw() < 1.0 / 3;
            if (credit >= 1) {
                credit -= 1;
                ++ordered_now.answers;
                ordered_now.bad += draw() < ordered_bad(at, share, first_route) ? 1 : 0;
            }
            else {
                ++old_now.answers;
                old_now.bad += draw() < old_bad ? 1 : 0;
            }
        }
        result.ordered += ordered_now.answers;
        result.ordered_bad += ordered_now.bad;
        judge.add(old_on_way, ordered_on_way);
        old_on_way = old_now;
        ordered_on_way = ordered_now;
        judge.update(start + at);
        share = next_share;
        if (judge.verdict() != rollout_phase::running) {
            result.verdict = judge.verdict();
            result.ended_at = at;
            break;
        }
    }
    return result;
}

// How many of the replays end so, and the greatest exposure.
struct summary
{
    std::uint64_t completed = 0;
    std::uint64_t rolled_back = 0;
    std::uint64_t beyond_exposure = 0;
    std::uint64_t max_bad = 0;
    base::duration last_end;
};

summary replay_all(const badness& ordered_bad, double old_bad = 0.01,
                   double requests_per_s = usual_requests_per_s)
{
    // Of requests until the deadline.
    const double exposure_bound = 0.1 * requests_per_s * duration.seconds() + 50;
    summary result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome one = replay(ordered_bad, seed, old_bad, requests_per_s);
        result.completed += one.verdict == rollout_phase::completed ? 1 : 0;
        result.rolled_back += one.verdict == rollout_phase::rolled_back ? 1 : 0;
        result.beyond_exposure +=
            static_cast<double>(one.ordered) > exposure_bound ? 1 : 0;
        result.max_bad = std::max(result.max_bad, one.ordered_bad);
        result.last_end = std::max(result.last_end, one.ended_at);
    }
    return result;
}

// Guards against a good version that is rolled back, or completed only after the
// deadline.
TEST(rollout_judge_test, a_good_version_completes_before_the_deadline)
{
    for (const double usual : {0.0, 0.01, 0.2}) {
        const summary result =
            replay_all([usual](base::duration, double, bool) { return usual; }, usual);
        EXPECT_GE(result.completed, seeds - 2) << usual;
        EXPECT_EQ(result.completed + result.rolled_back, seeds) << usual;
        EXPECT_LT(result.last_end, duration - base::duration(1000)) << usual;
    }
}

// Guards against chance among many answers that is taken for a fault.
TEST(rollout_judge_test, a_good_version_of_a_busy_service_completes)
{
    for (const double usual : {0.01, 0.2}) {
        const summary result = replay_all(
            [usual](base::duration, double, bool) { return usual; }, usual, 1000.0);
        EXPECT_GE(result.completed, seeds - 2) << usual;
    }
}

// Guards against a busy service whose bad version gets more requests than it may before
// the first counts arrive, or at the later steps.
TEST(rollout_judge_test, a_bad_version_of_a_busy_service_keeps_within_the_exposure)
{
    for (const double from_share : {0.0, 0.5}) {
        const summary result =
            replay_all([from_share](base::duration, double share,
                                    bool) { return share >= from_share ? 0.3 : 0.01; },
                       0.01, 1000.0);
        EXPECT_EQ(result.rolled_back, seeds) << from_share;
        EXPECT_EQ(result.beyond_exposure, 0U) << from_share;
    }
}

// Guards against a bad version that completes, or gets more requests than it may.
TEST(rollout_judge_test, a_version_that_is_bad_at_once_is_rolled_back)
{
    for (const double bad : {0.3, 0.6, 1.0}) {
        const summary result =
            replay_all([bad](base::duration, double, bool) { return bad; });
        EXPECT_EQ(result.rolled_back, seeds) << bad;
        EXPECT_EQ(result.beyond_exposure, 0U) << bad;
        EXPECT_LT(result.max_bad, 50U) << bad;
    }
}

// Guards against early good answers that outweigh later bad ones.
TEST(rollout_judge_test, a_version_that_turns_bad_later_is_rolled_back)
{
    const summary result = replay_all([](base::duration at, double, bool) {
        return at >= base::duration(5000) ? 0.5 : 0.01;
    });
    EXPECT_EQ(result.rolled_back, seeds);
    EXPECT_EQ(result.beyond_exposure, 0U);
    EXPECT_LT(result.max_bad, 50U);
}

// Guards against a version that is accepted at a small share, where it is still good.
TEST(rollout_judge_test, a_version_that_is_bad_under_load_is_rolled_back)
{
    const summary result = replay_all(
        [](base::duration, double share, bool) { return share >= 0.5 ? 0.5 : 0.01; });
    EXPECT_EQ(result.rolled_back, seeds);
    EXPECT_EQ(result.beyond_exposure, 0U);
    EXPECT_LT(result.max_bad, 50U);
}

// Guards against a fault on one route that the good answers of the others hide.
TEST(rollout_judge_test, a_version_that_is_bad_on_one_route_is_rolled_back)
{
    const summary result = replay_all([](base::duration, double, bool first_route) {
        return first_route ? 0.8 : 0.01;
    });
    EXPECT_EQ(result.rolled_back, seeds);
    EXPECT_EQ(result.beyond_exposure, 0U);
    EXPECT_LT(result.max_bad, 50U);
}

// Guards against old targets that stop while the new ones have answered nothing.
TEST(rollout_judge_test, a_version_without_answers_is_rolled_back)
{
    const base::instant start(1000);
    rollout_judge judge({}, duration, start);
    for (base::duration at; at < duration; at += report_interval) {
        judge.add({16, 0}, {});
        judge.update(start + at);
    }
    EXPECT_EQ(judge.verdict(), rollout_phase::rolled_back);
    EXPECT_EQ(judge.share(), 0.0);
}

// Guards against many requests to an unproven version in a service with much traffic,
// whose answers are late.
TEST(rollout_judge_test, an_unproven_version_keeps_within_the_exposure)
{
    const base::instant start(1000);
    rollout_judge judge({}, duration, start);
    judge.add({100, 0}, {40, 3});
    judge.update(start + base::duration(10));
    EXPECT_LE(judge.share(), 0.1);
    EXPECT_EQ(judge.verdict(), rollout_phase::running);
}

} // namespace
} // namespace curranthoist::cored
