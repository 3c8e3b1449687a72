#include "curranthoist/http/status.hpp"
#include "curranthoist/testing/platform/platform_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::testing {
namespace {

constexpr std::int64_t duration_s = 10;
// Requests that a bad version may get: this part of all to its service, and this number.
constexpr double exposure_share = 0.1;
constexpr double exposure_slack = 50;

// Roll-outs through real processes: the order, the list's versions, the fronts' counts
// and shares, and the end.
class rollout_path_test : public platform_fixture
{
protected:
    rollout_path_test() { add_vms(3); }

    void start_with_new_targets()
    {
        start_all();
        ASSERT_TRUE(replace(configuration(7)));
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            ASSERT_TRUE(ready(vm));
        }
        const std::string address = new_address();
        for (const char* const id : {"new-a", "new-b"}) {
            platform_->add(
                {.id = id,
                 .service = "single",
                 .address = {address, static_cast<std::uint16_t>(9200 + id[4])},
                 .version = "v2"});
        }
    }
    unsigned order(const std::string& service, const std::string& version)
    {
        const nlohmann::json body{{"service", service},
                                  {"target_version", version},
                                  {"duration_s", duration_s}};
        return operate("POST", "/v1/rollouts/start", body.dump());
    }
    std::string state()
    {
        std::string body;
        if (operate("GET", "/v1/rollouts/single/get", "", &body) != http::status::ok) {
            return "";
        }
        return nlohmann::json::parse(body).value("state", "");
    }
    // Sends requests to all VMs in turn until the roll-out ends.
    std::string send_until_ended()
    {
        std::string now = "running";
        wait_until(
            [&] {
                for (int i = 0; i < 12; ++i) {
                    ask_next();
                }
                const std::string read = state();
                now = read.empty() ? now : read;
                return now != "running";
            },
            base::duration(duration_s * 2000));
        return now;
    }
    void ask_next()
    {
        const http::target_result result =
            ask(asked_ % vms_.size(), "/l/1", "a-" + std::to_string(asked_));
        ++asked_;
        answered_ += result.status == http::status::ok ? 1 : 0;
    }
    // Requests that targets whose name begins so ran.
    std::size_t runs_of_targets(const std::string& prefix) const
    {
        const auto journal = platform_->journal();
        return static_cast<std::size_t>(
            std::count_if(journal.begin(), journal.end(), [&](const auto& run) {
                return run.target.starts_with(prefix);
            }));
    }

    std::size_t asked_ = 0;
    std::size_t answered_ = 0;
};

// Guards against a good version that doesn't take over, and against requests to the old
// targets, which stop as soon as the state is read as completed.
TEST_F(rollout_path_test, a_good_version_takes_over)
{
    start_with_new_targets();
    ASSERT_TRUE(wait_until([&] { return order("single", "v2") == 200U; }));
    EXPECT_EQ(state(), "running");
    EXPECT_EQ(send_until_ended(), "completed");
    EXPECT_EQ(answered_, asked_);
    // Fronts learn of the end a little later than the operator.
    wait_until(
        [&] {
            ask_next();
            return false;
        },
        base::duration(500));
    const std::size_t old_runs = runs_of_targets("single-");
    for (int i = 0; i < 30; ++i) {
        ask_next();
    }
    EXPECT_EQ(runs_of_targets("single-"), old_runs);
    EXPECT_EQ(answered_, asked_);
}

// Guards against a bad version that completes, gets more requests than it may, or gets
// any after the roll-back.
TEST_F(rollout_path_test, a_bad_version_is_rolled_back)
{
    start_with_new_targets();
    for (const char* const id : {"new-a", "new-b"}) {
        platform_->set_behaviour(id, target_behaviour::fails);
    }
    ASSERT_TRUE(wait_until([&] { return order("single", "v2") == 200U; }));
    EXPECT_EQ(send_until_ended(), "rolled_back");
    EXPECT_LE(runs_of_targets("new-"), 50U);
    wait_until(
        [&] {
            ask_next();
            return false;
        },
        base::duration(500));
    const std::size_t new_runs = runs_of_targets("new-");
    for (int i = 0; i < 30; ++i) {
        ask_next();
    }
    EXPECT_EQ(runs_of_targets("new-"), new_runs);
}

// Guards against a new leader that doesn't judge, or that takes the earlier good answers
// as a reason for a large share.
TEST_F(rollout_path_test, a_new_leader_judges_what_turns_bad)
{
    start_with_new_targets();
    ASSERT_TRUE(wait_until([&] { return order("single", "v2") == 200U; }));
    wait_until(
        [&] {
            ask_next();
            return false;
        },
        base::duration(2000));
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (core_metric(vm, "curranthoist_core_leads") == 1) {
            cores_[vm]->kill_now();
        }
    }
    for (const char* const id : {"new-a", "new-b"}) {
        platform_->set_behaviour(id, target_behaviour::fails);
    }
    EXPECT_EQ(send_until_ended(), "rolled_back");
    const auto new_runs = static_cast<double>(runs_of_targets("new-"));
    const auto old_runs = static_cast<double>(runs_of_targets("single-"));
    EXPECT_LE(new_runs, exposure_share * (new_runs + old_runs) + exposure_slack);
}

// Guards against operators who don't see a running roll-out, from any list of members,
// or see one that has ended as if it ran.
TEST_F(rollout_path_test, operators_see_the_progress_and_what_decides)
{
    start_with_new_targets();
    ASSERT_TRUE(wait_until([&] { return order("single", "v2") == 200U; }));
    wait_until(
        [&] {
            ask_next();
            return false;
        },
        base::duration(duration_s * 1000 / 3));
    std::vector<std::string> arguments{"rollout", "single"};
    for (const std::string& vm : vms_) {
        arguments.insert(arguments.end(),
                         {"--metrics", vm + ":" + std::to_string(core_metrics_port)});
    }
    child_process& running = start("curranthoist-ctl", arguments);
    EXPECT_EQ(running.wait_for_exit(), 0);
    const std::string printed = running.output();
    EXPECT_NE(printed.find(" -> v2\n  plan: 2% 5% "), std::string::npos) << printed;
    EXPECT_EQ(printed.find("v2: 0 answers"), std::string::npos) << printed;
    EXPECT_EQ(send_until_ended(), "completed");
    child_process& ended = start("curranthoist-ctl", arguments);
    EXPECT_EQ(ended.wait_for_exit(), 7) << ended.output();
    std::string log;
    for (const child_process* core : cores_) {
        log += core->output();
    }
    for (const char* const step : {" step=1 of=6", " step=3 of=6", " step=6 of=6"}) {
        EXPECT_NE(
            log.find("event=rollout_step service=single version=v2" + std::string(step)),
            std::string::npos)
            << step;
    }
}

// Guards against a wrong order that is acknowledged, a repeated one that is refused, and
// an acknowledged one that is lost when all processes are killed.
TEST_F(rollout_path_test, orders_are_checked_and_outlive_the_processes)
{
    start_with_new_targets();
    ASSERT_TRUE(wait_until([&] { return order("single", "v2") == 200U; }));
    EXPECT_EQ(order("single", "v2"), 200U);
    EXPECT_EQ(order("single", "v3"), 409U);
    EXPECT_EQ(order("unknown", "v2"), 400U);
    EXPECT_EQ(operate("POST", "/v1/rollouts/start", "{}"), 400U);
    EXPECT_EQ(operate("GET", "/v1/rollouts/s0/get", ""), 404U);
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        cores_[vm]->kill_now();
    }
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        start_core(vm, false);
    }
    EXPECT_TRUE(wait_until([&] { return !state().empty(); }));
    EXPECT_NE(send_until_ended(), "running");
}

} // namespace
} // namespace curranthoist::testing
