#include "curranthoist/base/random_source.hpp"
#include "curranthoist/cored/rollout_judge.hpp"

#include <gtest/gtest.h>

#include <cmath>
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
        const auto due = static_cast<std::uint64_t>(
            std::llround(requests_per_s * (at + report_interval).seconds()));
        while (result.all < due) {
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

// Guards against hundreds of good answers that have to be outweighed before a version
// that has turned bad is found.
TEST(rollout_judge_test, a_few_bad_answers_after_many_good_ones_are_enough)
{
    rollout_judge judge({}, duration, base::instant(1000));
    judge.add({4000, 0}, {2000, 0});
    judge.add({}, {6, 6});
    judge.update(base::instant(1001));
    EXPECT_EQ(judge.verdict(), rollout_phase::rolled_back);
}

// Guards against hundreds of bad answers of a version that is worse than a bad old one,
// but not by as much as the test looks for.
TEST(rollout_judge_test, a_version_that_is_a_little_worse_is_stopped_by_its_bad_answers)
{
    rollout_judge judge({}, duration, base::instant(1000));
    judge.add({1000, 200}, {1000, 290});
    EXPECT_LT(judge.evidence(), 0);
    judge.update(base::instant(1001));
    EXPECT_EQ(judge.verdict(), rollout_phase::rolled_back);
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

// Returns the verdict on a version that gives so many answers until the deadline, of
// which the bad ones come evenly, beside an old version with one bad answer in a hundred.
rollout_phase verdict_on(std::uint64_t answers, std::uint64_t bad)
{
    const base::instant start(1000);
    rollout_judge judge({}, duration, start);
    judge.add({1000, 10}, {});
    for (std::uint64_t i = 0; i < answers; ++i) {
        const bool is_bad = (i + 1) * bad / answers > i * bad / answers;
        judge.add({}, {1, is_bad ? 1U : 0U});
        judge.update(start + base::duration(1));
    }
    for (base::duration at; at < duration; at += report_interval) {
        judge.update(start + at);
    }
    return judge.verdict();
}

// Probabilities that a good version (0.01 of the answers are bad) is rolled back and that
// a bad one (0.3) completes.
struct error_rates
{
    double good_rolled_back = 0;
    double bad_completed = 0;
};

error_rates errors_with(std::uint64_t answers)
{
    constexpr double good = 0.01;
    constexpr double bad = 0.3;
    error_rates result;
    double ways = 1;
    for (std::uint64_t k = 0; k <= answers; ++k) {
        const auto failed = static_cast<double>(k);
        const auto rest = static_cast<double>(answers - k);
        if (verdict_on(answers, k) == rollout_phase::completed) {
            result.bad_completed +=
                ways * std::pow(bad, failed) * std::pow(1 - bad, rest);
        }
        else {
            result.good_rolled_back +=
                ways * std::pow(good, failed) * std::pow(1 - good, rest);
        }
        ways *= rest / (failed + 1);
    }
    return result;
}

// Guards against a verdict on few answers that errs more often than the design note
// states.
TEST(rollout_judge_test, the_errors_with_few_answers_are_those_that_are_stated)
{
    struct stated
    {
        std::uint64_t answers;
        double good_rolled_back;
        double bad_completed;
    };
    for (const stated& one :
         {stated{5, 0.05, 0.17}, stated{8, 0.08, 0.06}, stated{12, 0.12, 0.015},
          stated{20, 0.19, 0.001}, stated{25, 0.03, 0.002}, stated{40, 0.065, 0.001}}) {
        const error_rates rates = errors_with(one.answers);
        EXPECT_LE(rates.good_rolled_back, one.good_rolled_back) << one.answers;
        EXPECT_LE(rates.bad_completed, one.bad_completed) << one.answers;
    }
}

// Guards against bad versions of services with few requests that complete, and against
// good ones that never do.
TEST(rollout_judge_test, services_with_few_requests_are_judged_within_the_stated_errors)
{
    struct stated
    {
        double requests_per_s;
        double good_rolled_back;
        double bad_completed;
    };
    for (const stated& one :
         {stated{2, 0.12, 0.06}, stated{5, 0.1, 0.005}, stated{10, 0.07, 0.005}}) {
        const summary good = replay_all([](base::duration, double, bool) { return 0.01; },
                                        0.01, one.requests_per_s);
        const summary bad = replay_all([](base::duration, double, bool) { return 0.3; },
                                       0.01, one.requests_per_s);
        EXPECT_LE(good.rolled_back, one.good_rolled_back * seeds) << one.requests_per_s;
        EXPECT_EQ(good.completed + good.rolled_back, seeds) << one.requests_per_s;
        EXPECT_LE(bad.completed, one.bad_completed * seeds) << one.requests_per_s;
        EXPECT_EQ(bad.beyond_exposure, 0U) << one.requests_per_s;
        EXPECT_LT(bad.max_bad, 50U) << one.requests_per_s;
        EXPECT_LT(good.last_end, duration - base::duration(1000));
    }
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
