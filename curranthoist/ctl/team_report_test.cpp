#include "curranthoist/ctl/team_report.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace curranthoist::ctl {
namespace {

constexpr const char* leader = R"(# HELP curranthoist_team_credit_milli Requests
# TYPE curranthoist_team_credit_milli gauge
curranthoist_team_admitted_permille{team="other"} 1000
curranthoist_team_admitted_permille{team="shop"} 415
curranthoist_team_burst_milli{team="shop"} 17500
curranthoist_team_credit_milli{team="shop"} -3200
curranthoist_team_demand_milli{team="shop"} 41000
curranthoist_team_limit_milli{team="shop"} 17000
curranthoist_core_leads 1
)";
constexpr const char* front =
    R"(curranthoist_team_requests_total{team="shop",outcome="admitted"} 12
curranthoist_team_requests_total{team="shop",outcome="over_limit"} 3
curranthoist_team_requests_total{team="shopping",outcome="over_limit"} 99
)";

// Guards against the numbers of another team, or of one front only.
TEST(team_report_test, fronts_are_summed_and_other_teams_are_left_out)
{
    team_report report;
    report.team = "shop";
    EXPECT_TRUE(report.empty());
    report.add(leader);
    report.add(front);
    report.add(front);
    std::ostringstream text;
    print_team_text(text, report);
    EXPECT_EQ(text.str(), "team shop\n"
                          "  limit 17.0 a second, burst 17.5\n"
                          "  credit -3.2\n"
                          "  sends 41.0 a second, of which 415 in 1000 fit\n"
                          "  admitted 24\n"
                          "  over_limit 6\n");
    EXPECT_EQ(team_json(report)["account"]["rate_per_s"], 17.0);
    EXPECT_EQ(team_json(report)["outcomes"]["admitted"], 24);
}

// Guards against a wrong address whose page ends the program or is taken for metrics.
TEST(team_report_test, lines_that_are_no_metrics_are_left_out)
{
    team_report report;
    report.team = "shop";
    report.add("<html>{} \n}{ 1\nx{team=\"shop\n{team=\"shop\"} x\n"
               "curranthoist_team_requests_total{team=\"shop\"} 7");
    EXPECT_TRUE(report.empty());
}

} // namespace
} // namespace curranthoist::ctl
