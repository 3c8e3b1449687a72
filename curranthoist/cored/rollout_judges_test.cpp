#include "curranthoist/cored/rollout_judges.hpp"

#include <gtest/gtest.h>

namespace curranthoist::cored {
namespace {

using deployment::rollout_phase;

class rollout_judges_test : public ::testing::Test
{
protected:
    rollout_judges_test()
    {
        deployment::rollout order{service_, "v2", "v1", duration_, wall_};
        rollouts_.emplace(service_, order);
        judges_.set_rollouts(rollouts_, now_, wall_);
    }
    void report(const std::string& front, const std::string& version,
                std::uint64_t answers, std::uint64_t bad)
    {
        const std::vector<deployment::version_answers> counts{
            {service_, version, answers, bad}};
        judges_.add(front, counts, now_);
        judges_.update(now_);
    }
    // Good answers of both versions, and requests that wait at old targets.
    void report_good(const std::string& front, std::uint64_t number, std::uint32_t open)
    {
        const std::vector<deployment::version_answers> counts{
            {service_, "v1", number * 20, 0, open}, {service_, "v2", number * 5, 0}};
        judges_.add(front, counts, now_);
        judges_.update(now_);
    }
    std::vector<rollout_judges::decision> decisions()
    {
        return judges_.take_decisions(now_);
    }
    // Two fronts report good answers until a decision or the given time. The first one
    // has `open` requests at old targets, and reports until `silent_after`.
    rollout_judges::decision report_until(base::duration end, std::uint32_t open,
                                          base::duration silent_after)
    {
        const base::instant start = now_;
        for (std::uint64_t i = 1; now_ - start < end; ++i) {
            now_ = now_ + report_interval;
            if (now_ - start < silent_after) {
                report_good("a", i, open);
            }
            report_good("b", i, 0);
            if (const auto ended = decisions(); !ended.empty()) {
                return ended.front();
            }
        }
        return {};
    }

    static constexpr base::duration report_interval{100};
    const base::duration duration_{12'000};
    const base::service_id service_{"s"};
    base::instant now_{5000};
    const base::instant wall_{1'000'000};
    std::map<base::service_id, deployment::rollout> rollouts_;
    rollout_judges judges_{rollout_judge::options()};
};

// Guards against a repeated report that counts twice, and against counts of a restarted
// front that are taken for a huge growth.
TEST_F(rollout_judges_test, cumulative_counts_count_once)
{
    report("a", "v1", 100, 1);
    for (int i = 0; i < 100; ++i) {
        report("a", "v2", 4, 1);
        report("b", "v2", 1, 0);
    }
    EXPECT_TRUE(decisions().empty());
    report("a", "v2", 1, 0);
    EXPECT_TRUE(decisions().empty());
    report("b", "v2", 6, 5);
    ASSERT_EQ(decisions().size(), 1U);
}

// Guards against a bad version that keeps its share until the end is committed, and
// against an end that is lost with a proposal.
TEST_F(rollout_judges_test, a_decision_closes_the_share_at_once_and_is_named_again)
{
    ASSERT_EQ(judges_.shares().size(), 1U);
    EXPECT_GT(judges_.shares()[0].share, 0.0);
    report("a", "v2", 10, 10);
    EXPECT_EQ(judges_.shares()[0].share, 0.0);
    const auto first = decisions();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].phase, rollout_phase::rolled_back);
    EXPECT_TRUE(decisions().empty());
    now_ = now_ + rollout_judges::decision_interval;
    EXPECT_EQ(decisions().size(), 1U);
    rollouts_.at(service_).phase = rollout_phase::rolled_back;
    judges_.set_rollouts(rollouts_, now_, wall_);
    now_ = now_ + rollout_judges::decision_interval;
    EXPECT_TRUE(decisions().empty());
    EXPECT_TRUE(judges_.shares().empty());
}

// Guards against a new leader that begins with a large share, or that judges only after
// the deadline.
TEST_F(rollout_judges_test, a_new_leader_starts_at_the_first_step_and_keeps_the_deadline)
{
    judges_.clear();
    judges_.set_rollouts(rollouts_, now_, wall_ + base::duration(6000));
    const double first = judges_.shares()[0].share;
    EXPECT_LE(first, 0.02);
    bool ended = false;
    for (std::uint64_t i = 1; i <= 60 && !ended; ++i) {
        now_ = now_ + report_interval;
        report("a", "v1", i * 20, 0);
        report("a", "v2", i * 5, 0);
        ended = !decisions().empty();
    }
    EXPECT_TRUE(ended);
    EXPECT_EQ(judges_.shares()[0].share, 1.0);
}

// Guards against counts of an earlier roll-out in the judgement of the next one.
TEST_F(rollout_judges_test, the_next_order_gets_a_judge_of_its_own)
{
    report("a", "v2", 10, 10);
    EXPECT_EQ(decisions().size(), 1U);
    deployment::rollout& order = rollouts_.at(service_);
    order.target_version = "v3";
    order.ordered_at = order.ordered_at + base::duration(5000);
    judges_.set_rollouts(rollouts_, now_, wall_ + base::duration(5000));
    judges_.update(now_);
    EXPECT_TRUE(decisions().empty());
    EXPECT_EQ(judges_.shares()[0].target_version, "v3");
}

// Guards against requests that are broken off because the old targets stop at the
// completion: an answer is still awaited, or a front has not heard of the full share.
TEST_F(rollout_judges_test, a_completion_waits_for_the_requests_to_old_targets)
{
    const base::instant start = now_;
    EXPECT_EQ(report_until(base::duration(9600), 1, duration_).phase,
              rollout_phase::running);
    EXPECT_EQ(judges_.shares()[0].share, 1.0);
    EXPECT_EQ(report_until(duration_, 0, duration_).phase, rollout_phase::completed);
    EXPECT_LT((now_ - start).count(), 10'800);
}

// Guards against a verdict shortly before the deadline that takes effect while fronts
// still send to the old targets.
TEST_F(rollout_judges_test, a_late_verdict_reaches_the_fronts_before_the_old_targets_stop)
{
    // Two bad answers hold up the steps until good ones follow.
    const base::instant start = now_;
    base::instant full_at = base::instant::max();
    for (std::uint64_t i = 1; now_ - start < duration_; ++i) {
        now_ = now_ + report_interval;
        report("a", "v1", i * 5, 0);
        report("a", "v2", 2 + (i > 80 ? (i - 80) * 3 : 0), 2);
        const auto ended = decisions();
        if (judges_.shares()[0].share == 1.0) {
            full_at = std::min(full_at, now_);
        }
        if (!ended.empty()) {
            EXPECT_EQ(ended[0].phase, rollout_phase::completed);
            break;
        }
    }
    EXPECT_GT((full_at - start).count(), 10'000);
    EXPECT_GT(now_, full_at);
    EXPECT_LT((now_ - start).count(), duration_.count() - 500);
}

// Guards against a roll-out that misses its deadline for a request without an end or for
// a front that is gone.
TEST_F(rollout_judges_test, a_completion_waits_neither_for_long_nor_for_silent_fronts)
{
    const base::instant start = now_;
    EXPECT_EQ(report_until(duration_, 1, duration_).phase, rollout_phase::completed);
    EXPECT_LT((now_ - start).count(), duration_.count() - 500);
    judges_.clear();
    judges_.set_rollouts(rollouts_, now_, wall_);
    const base::instant next_start = now_;
    EXPECT_EQ(report_until(duration_, 1, base::duration(4000)).phase,
              rollout_phase::completed);
    EXPECT_LT((now_ - next_start).count(), 9000);
}

// Guards against a version that turns bad while its completion waits, and completes.
TEST_F(rollout_judges_test, a_version_that_turns_bad_before_its_end_is_rolled_back)
{
    EXPECT_EQ(report_until(base::duration(9600), 1, duration_).phase,
              rollout_phase::running);
    report("c", "v2", 20, 20);
    const auto ended = decisions();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].phase, rollout_phase::rolled_back);
    EXPECT_EQ(judges_.shares()[0].share, 0.0);
}

// Guards against a good version that a new leader rolls back because it judges its
// answers before it knows those of the old one: both fail a fifth of their requests.
TEST_F(rollout_judges_test, a_report_is_judged_whole_whatever_the_versions_are_called)
{
    for (const std::string ordered : {"v2", "v0"}) {
        rollouts_.at(service_).target_version = ordered;
        judges_.clear();
        judges_.set_rollouts(rollouts_, now_, wall_);
        std::vector<deployment::version_answers> counts{{service_, "v1", 400, 80},
                                                        {service_, ordered, 100, 20}};
        if (ordered < "v1") {
            std::swap(counts[0], counts[1]);
        }
        judges_.add("a", counts, now_);
        judges_.update(now_);
        EXPECT_TRUE(decisions().empty()) << ordered;
    }
}

} // namespace
} // namespace curranthoist::cored
