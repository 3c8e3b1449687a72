#include "curranthoist/cored/rollout_judges.hpp"
#include "curranthoist/cored/rollout_metrics.hpp"

#include <gtest/gtest.h>

namespace curranthoist::cored {
namespace {

// Guards against operators who see other figures than those that decide, and against
// names that break the lines of the metrics.
TEST(rollout_metrics_test, the_figures_of_the_judge_are_named)
{
    const base::instant start(5000);
    const base::service_id service("desk");
    const deployment::rollout order{service, "v\"2", "v1", base::duration(12'000), start};
    rollout_judges judges{rollout_judge::options()};
    judges.set_rollouts({{service, order}}, start, start);
    judges.add("a",
               std::vector<deployment::version_answers>{{service, "v1", 100, 1, 3},
                                                        {service, "v\"2", 10, 0, 4}},
               start);
    judges.update(start + base::duration(1500));
    const std::string text = rollout_metrics(judges.standings());
    for (
        const char* const line : {
            R"(curranthoist_rollout_answers{service="desk",role="ordered",version="v\"2"} 10)",
            R"(curranthoist_rollout_bad_answers{service="desk",role="old",version="v1"} 1)",
            R"(curranthoist_rollout_share_permille{service="desk"} 50)",
            R"(curranthoist_rollout_step{service="desk"} 2)",
            R"(curranthoist_rollout_plan_permille{service="desk",step="6"} 1000)",
            R"(curranthoist_rollout_evidence_milli{service="desk"} -1065)",
            R"(curranthoist_rollout_roll_back_milli{service="desk"} 6898)",
            R"(curranthoist_rollout_remaining_ms{service="desk"} 10500)",
            R"(curranthoist_rollout_open_at_old{service="desk"} 3)",
        }) {
        EXPECT_NE(text.find(std::string(line) + "\n"), std::string::npos) << line << "\n"
                                                                          << text;
    }
    EXPECT_EQ(rollout_metrics({}).find("rollout"), std::string::npos);
}

// Guards against a step that is logged again with each tick, or never.
TEST(rollout_metrics_test, each_step_is_named_once)
{
    const base::instant start(5000);
    const base::service_id service("desk");
    const deployment::rollout order{service, "v2", "v1", base::duration(12'000), start};
    rollout_judges judges{rollout_judge::options()};
    judges.set_rollouts({{service, order}}, start, start);
    EXPECT_EQ(judges.take_steps().size(), 1U);
    EXPECT_TRUE(judges.take_steps().empty());
    judges.update(start + base::duration(1500));
    const auto next = judges.take_steps();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].step, 2U);
}

} // namespace
} // namespace curranthoist::cored
