#include "curranthoist/testing/process_fixture.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <string>

namespace curranthoist::testing {
namespace {

using nlohmann::json;

constexpr std::uint16_t port = 8080;
constexpr std::uint16_t admin_port = 8081;

class program_test : public process_fixture
{
protected:
    child_process& start_target(const std::string& address)
    {
        return start("curranthoist-target",
                     {"--listen", address + ":8080", "--admin-listen", address + ":8081",
                      "--id", "t1", "--service", "desk", "--snapshot", "4:2:9",
                      "--snapshot", "5:1:3", "--service-ms", "1"});
    }
};

TEST_F(program_test, a_target_serves_takes_faults_and_ends_on_sigterm)
{
    const std::string address = new_address();
    child_process& target = start_target(address);
    ASSERT_TRUE(wait_until_ready({address, port}, "/v1/status")) << target.output();
    EXPECT_EQ(get_json({address, port}, "/v1/status")["snapshots"].size(), 2U);
    const auto refused =
        post_json({address, admin_port}, "/fault", {{"fault", "no such"}});
    EXPECT_EQ(refused.status, 400U);
    EXPECT_NE(refused.body.find("findings"), std::string::npos);
    post_json({address, admin_port}, "/fault", {{"fault", "drain"}});
    EXPECT_EQ(get_json({address, port}, "/v1/status")["draining"], true);
    EXPECT_EQ(get_json({address, admin_port}, "/journal/summary")["target"], "t1");
    target.send_signal(SIGTERM);
    EXPECT_EQ(target.wait_for_exit(), 0);
}

TEST_F(program_test, a_target_whose_address_is_taken_exits_with_an_error)
{
    const std::string address = new_address();
    start_target(address);
    ASSERT_TRUE(wait_until_ready({address, port}, "/v1/status"));
    child_process& second = start_target(address);
    EXPECT_EQ(second.wait_for_exit(), 1);
    EXPECT_NE(second.output().find("cannot listen"), std::string::npos);
}

TEST_F(program_test, wrong_arguments_are_refused)
{
    child_process& target = start("curranthoist-target", {"--snapshot", "1:5:5"});
    EXPECT_NE(target.wait_for_exit().value_or(0), 0);
    child_process& load = start("curranthoist-load", {"--entry", "nowhere"});
    EXPECT_NE(load.wait_for_exit().value_or(0), 0);
}

TEST_F(program_test, a_killed_target_is_seen_and_its_id_is_free)
{
    const std::string address = new_address();
    child_process& target = start_target(address);
    ASSERT_TRUE(wait_until_ready({address, port}, "/v1/status"));
    target.kill_now();
    EXPECT_FALSE(target.is_running());
    EXPECT_EQ(target.wait_for_exit(), 128 + SIGKILL);
    EXPECT_EQ(get_json({address, port}, "/v1/status"), nullptr);
}

TEST_F(program_test, a_load_on_nobody_reports_failures_and_ends)
{
    child_process& load = start(
        "curranthoist-load", {"--entry", new_address() + ":8080", "--query", "desk",
                              "--order", "book", "--order-fraction", "0.5", "--rate",
                              "200", "--duration-ms", "300", "--json", "--list-orders"});
    EXPECT_EQ(load.wait_for_exit(), 0);
    const json report = json::parse(load.output());
    const int orders = report["orders"]["sent"];
    EXPECT_EQ(report["queries"]["failed"], report["queries"]["sent"]);
    EXPECT_EQ(report["order_outcomes"].size(), static_cast<std::size_t>(orders));
    EXPECT_GT(report["errors"]["could not connect"], 20);
}

} // namespace
} // namespace curranthoist::testing
