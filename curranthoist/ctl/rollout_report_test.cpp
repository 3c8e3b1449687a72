#include "curranthoist/ctl/rollout_report.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace curranthoist::ctl {
namespace {

constexpr const char* leader =
    R"(curranthoist_rollout_accept_milli{service="desk"} -4604
curranthoist_rollout_answers{service="desk",role="old",version="v1"} 1100
curranthoist_rollout_answers{service="desk",role="ordered",version="v2"} 120
curranthoist_rollout_bad_answers{service="desk",role="old",version="v1"} 11
curranthoist_rollout_bad_answers{service="desk",role="ordered",version="v2"} 3
curranthoist_rollout_evidence_milli{service="desk"} 1204
curranthoist_rollout_open_at_old{service="desk"} 2
curranthoist_rollout_remaining_ms{service="desk"} 3210
curranthoist_rollout_roll_back_milli{service="desk"} 6897
curranthoist_rollout_share_permille{service="desk"} 100
curranthoist_rollout_step{service="desk"} 3
curranthoist_rollout_plan_permille{service="desk",step="1"} 20
curranthoist_rollout_plan_permille{service="desk",step="2"} 50
curranthoist_rollout_plan_permille{service="desk",step="3"} 100
curranthoist_rollout_step{service="desk2"} 5
curranthoist_core_leads 1
)";

// Guards against the figures of another service, or of one version taken for the other's.
TEST(rollout_report_test, the_figures_of_one_service_are_shown)
{
    rollout_report report;
    report.service = "desk";
    EXPECT_TRUE(report.empty());
    report.add(leader);
    std::ostringstream text;
    print_rollout_text(text, report);
    EXPECT_EQ(text.str(),
              "service desk: v1 -> v2\n"
              "  plan: 2% 5% 10% of the requests\n"
              "  step 3 of 3: 10.0%; 3.2 s left\n"
              "  v2: 120 answers, 3 bad\n"
              "  v1: 1100 answers, 11 bad\n"
              "  evidence 1.20: rolled back from 6.90, accepted from -4.60 down\n"
              "  2 requests wait for the old version\n");
    EXPECT_EQ(rollout_json(report)["ordered"]["bad"], 3);
    EXPECT_EQ(rollout_json(report)["plan_permille"].size(), 3U);
    EXPECT_EQ(rollout_json(report)["figures"]["share_permille"], 100);
}

// Guards against a process that knows no roll-out of the service and is taken for one
// that does.
TEST(rollout_report_test, other_services_and_other_text_are_left_out)
{
    rollout_report report;
    report.service = "des";
    report.add(leader);
    report.add("<html>{ }\ncurranthoist_rollout_step{service=\"des\nx} 1");
    EXPECT_TRUE(report.empty());
}

} // namespace
} // namespace curranthoist::ctl
