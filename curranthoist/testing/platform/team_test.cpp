// Teams, their keys and limits, with real processes.
#include "curranthoist/testing/platform/platform_fixture.hpp"

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

namespace curranthoist::testing {
namespace {

constexpr base::duration revocation_limit{5000};

class team_test : public platform_fixture
{
protected:
    team_test()
    {
        more_settings_ = "bounds.strict_revocation=true\nbounds.revocation_ms=" +
                         std::to_string(revocation_limit.count()) +
                         "\nbounds.quota_slack=20\n";
        add_vms(3, true);
        start_all();
    }

    static nlohmann::json with_teams(std::uint64_t version, const nlohmann::json& keys,
                                     double rate = 0)
    {
        nlohmann::json result = configuration(version);
        result["tenants"] = {{{"name", "team-a"},
                              {"api_keys", keys},
                              {"priority", 1},
                              {"rate_per_s", rate},
                              {"burst", rate}}};
        result["routes"][2]["public"] = true;
        return result;
    }
    void serve(const nlohmann::json& wanted)
    {
        ASSERT_TRUE(replace(wanted));
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            ASSERT_TRUE(ready(vm));
        }
    }
    http::target_result order(std::size_t vm, const std::string& key,
                              const std::string& attempt,
                              base::duration limit = base::duration(5000))
    {
        return send({vms_[vm], callers_port},
                    {.path = "/o/1",
                     .headers = {{"Host", host},
                                 {"Attempt-Id", attempt},
                                 {"Key", key},
                                 {"Tenant", "another"},
                                 {"Deadline-Milliseconds", "3000"}},
                     .body = "order",
                     .time_limit = limit});
    }
    static void wait(base::duration time)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
    }
};

// Guards against a request that runs for another team, or without a key.
TEST_F(team_test, targets_are_told_the_team_and_not_the_key)
{
    serve(with_teams(7, {"key-1"}));
    ASSERT_TRUE(wait_until([&] { return order(0, "key-1", "first").status == 200U; }));
    EXPECT_EQ(order(1, "key-2", "unknown").status, 401U);
    EXPECT_EQ(order(1, "", "none").status, 401U);
    EXPECT_EQ(ask(2, "/l/1", "public").status, 200U);
    EXPECT_EQ(platform_->runs_of("unknown") + platform_->runs_of("none"), 0U);
    for (const stand_in_platform::run& run : platform_->journal()) {
        EXPECT_EQ(run.key, "");
        EXPECT_EQ(run.team, run.attempt == "public" ? "" : "team-a");
    }
}

// Guards against a configuration without its last team that lets every request in, and
// passes keys and the callers' own team lines on to targets.
TEST_F(team_test, without_its_last_team_a_configuration_takes_no_key)
{
    serve(with_teams(7, {"key-1"}));
    ASSERT_TRUE(wait_until([&] { return order(0, "key-1", "before").status == 200U; }));
    nlohmann::json emptied = with_teams(8, {"key-1"});
    emptied["tenants"] = nlohmann::json::array();
    ASSERT_TRUE(replace(emptied));
    wait(revocation_limit);
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        EXPECT_EQ(order(vm, "key-1", "withdrawn").status, 401U) << vm;
        EXPECT_EQ(order(vm, "key-2", "unknown").status, 401U) << vm;
        EXPECT_EQ(order(vm, "", "none").status, 401U) << vm;
    }
    EXPECT_EQ(platform_->runs_of("withdrawn") + platform_->runs_of("unknown") +
                  platform_->runs_of("none"),
              0U);
    EXPECT_EQ(ask(0, "/l/1", "public").status, 200U);
    EXPECT_EQ(version_read_back(), 8U);
}

// Guards against a list of teams that is sent as null and taken for none, which would let
// every request in.
TEST_F(team_test, a_null_list_of_teams_is_refused_and_changes_nothing)
{
    serve(with_teams(7, {"key-1"}));
    nlohmann::json wanted = with_teams(8, {"key-1"});
    wanted["tenants"] = nullptr;
    EXPECT_TRUE(replace(wanted, 400));
    EXPECT_EQ(version_read_back(), 7U);
    EXPECT_EQ(order(0, "key-2", "unknown").status, 401U);
}

// Guards against a VM that was frozen while a key was withdrawn, and takes it once more
// when it goes on.
TEST_F(team_test, a_vm_that_was_frozen_takes_no_withdrawn_key)
{
    serve(with_teams(7, {"key-1", "key-2"}));
    ASSERT_TRUE(wait_until([&] { return order(0, "key-1", "before").status == 200U; }));
    fronts_[0]->send_signal(SIGSTOP);
    ASSERT_TRUE(replace(with_teams(8, {"key-2"})));
    wait(revocation_limit + base::duration(100));
    http::target_result late;
    std::thread caller([&] { late = order(0, "key-1", "late"); });
    wait(base::duration(200));
    fronts_[0]->send_signal(SIGCONT);
    caller.join();
    EXPECT_TRUE(late.status == 401U || late.status == 503U) << late.status;
    EXPECT_EQ(platform_->runs_of("late"), 0U);
    EXPECT_TRUE(wait_until([&] { return order(0, "key-2", "after").status == 200U; }));
    EXPECT_EQ(order(0, "key-1", "gone").status, 401U);
}

// Guards against a VM that is cut off from the core, can't hear of a withdrawn key, and
// goes on to take it.
TEST_F(team_test, vms_without_the_core_take_no_keys_and_go_on_with_public_routes)
{
    serve(with_teams(7, {"key-1"}));
    ASSERT_TRUE(wait_until([&] { return order(0, "key-1", "before").status == 200U; }));
    for (const auto& link : peer_links_) {
        link->cut(true, true);
    }
    wait(revocation_limit);
    const http::target_result late = order(0, "key-1", "late");
    EXPECT_EQ(late.status, 503U);
    EXPECT_TRUE(late.header("Retry-After"));
    EXPECT_EQ(platform_->runs_of("late"), 0U);
    EXPECT_EQ(ask(0, "/l/1", "public").status, 200U);
    for (const auto& link : peer_links_) {
        link->heal();
    }
    EXPECT_TRUE(wait_until([&] { return order(0, "key-1", "back").status == 200U; }));
}

// Guards against a VM that the load balancer sends callers to although it can't check
// their keys yet.
TEST_F(team_test, a_vm_that_is_ready_takes_keys)
{
    ASSERT_TRUE(replace(with_teams(7, {"key-1"})));
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        ASSERT_TRUE(ready(vm));
        EXPECT_EQ(order(vm, "key-1", "first-" + std::to_string(vm)).status, 200U) << vm;
    }
}

// Guards against a limit that each VM grants for itself.
TEST_F(team_test, the_limit_holds_over_all_vms)
{
    constexpr double rate = 10;
    constexpr double slack = 20;
    constexpr std::int64_t window_s = 5;
    serve(with_teams(7, {"key-1"}, rate));
    ASSERT_TRUE(wait_until([&] { return order(0, "key-1", "before").status == 200U; }));
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(window_s);
    std::size_t refused = 0;
    std::size_t served = 0;
    for (unsigned i = 0; std::chrono::steady_clock::now() < end; ++i) {
        const auto answer = order(i % vms_.size(), "key-1", "hot-" + std::to_string(i));
        served += answer.status == 200U ? 1 : 0;
        refused += answer.status == 429U ? 1 : 0;
        EXPECT_EQ(answer.status == 429U, answer.header("Retry-After").has_value());
        wait(base::duration(5));
    }
    EXPECT_GT(refused, 0U);
    EXPECT_LE(static_cast<double>(served), (rate * window_s + rate) * 1.1 + slack);
}

// Guards against a configuration in which two teams hold one key.
TEST_F(team_test, two_teams_with_one_key_are_refused)
{
    serve(with_teams(7, {"key-1"}));
    nlohmann::json wanted = with_teams(8, {"key-1"});
    wanted["tenants"].push_back({{"name", "team-b"}, {"api_keys", {"key-1"}}});
    EXPECT_TRUE(replace(wanted, 400));
    EXPECT_EQ(version_read_back(), 7U);
}

} // namespace
} // namespace curranthoist::testing
