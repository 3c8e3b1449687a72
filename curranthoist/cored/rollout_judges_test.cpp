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
        deployment::rollout order{service_, "v2", "v1", base::duration(12'000), wall_};
        rollouts_.emplace(service_, order);
        judges_.set_rollouts(rollouts_, now_, wall_);
    }
    void report(const std::string& front, const std::string& version,
                std::uint64_t answers, std::uint64_t bad)
    {
        const std::vector<deployment::version_answers> counts{
            {service_, version, answers, bad}};
        judges_.add(front, counts);
        judges_.update(now_);
    }
    std::vector<rollout_judges::decision> decisions()
    {
        return judges_.take_decisions(now_);
    }

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
        now_ = now_ + base::duration(100);
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
        judges_.add("a", counts);
        judges_.update(now_);
        EXPECT_TRUE(decisions().empty()) << ordered;
    }
}

} // namespace
} // namespace curranthoist::cored
