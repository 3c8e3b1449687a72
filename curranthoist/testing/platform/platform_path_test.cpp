#include "curranthoist/http/status.hpp"
#include "curranthoist/testing/platform/platform_fixture.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace curranthoist::testing {
namespace {

class platform_path_test : public platform_fixture
{
protected:
    platform_path_test() { add_vms(3); }
};

// Guards against a path that works in parts only: settings, founding, configuration,
// list, query, single request and refusal through real processes.
TEST_F(platform_path_test, queries_and_single_requests_are_served)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    for (std::size_t vm = 0; vm < 3; ++vm) {
        ASSERT_TRUE(ready(vm));
    }
    const http::target_result gathered = ask(0, "/q/x%20y?z=1", "attempt-1");
    ASSERT_EQ(gathered.status, 200U);
    EXPECT_EQ(gathered.header("Missing-Parts"), "0");
    const std::string parts = gathered.header("Part-Stamps").value_or("");
    EXPECT_NE(parts.find("s0-"), std::string::npos);
    EXPECT_NE(parts.find("s1-"), std::string::npos);
    const std::string first = stand_in_platform::records_of("s1").substr(16, 16);
    EXPECT_EQ(gathered.body.size(), 48U);
    EXPECT_EQ(gathered.body.substr(0, 16), first);
    for (const auto& run : platform_->journal()) {
        EXPECT_EQ(run.path, "/q/x%20y?z=1");
    }
    const http::target_result single = ask(1, "/o/1", "attempt-2", "POST");
    EXPECT_EQ(single.status, 200U);
    EXPECT_EQ(single.header("Server-Stamp").value_or("").substr(0, 6), "single");
    EXPECT_EQ(platform_->runs_of("attempt-2"), 1U);
    EXPECT_EQ(platform_->journal().back().body, "order");
    EXPECT_EQ(ask(2, "/unknown/", "attempt-3").status, 404U);
}

// Guards against an invalid configuration that is acknowledged, and an old one that
// replaces the newest.
TEST_F(platform_path_test, only_valid_and_newer_configurations_take_effect)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    nlohmann::json invalid = configuration(9);
    invalid["routes"][0]["timeout_ms"] = 0;
    EXPECT_TRUE(replace(invalid, http::status::bad_request));
    EXPECT_TRUE(replace(configuration(5)));
    EXPECT_EQ(version_read_back(), 7U);
}

// Guards against a request that may run once and runs twice, or is refused as not run,
// because its answer was lost.
TEST_F(platform_path_test, a_lost_answer_of_a_request_that_may_run_once_is_not_repeated)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_TRUE(ready(0));
    platform_->set_behaviour("single-a", target_behaviour::loses_answers);
    platform_->set_behaviour("single-b", target_behaviour::loses_answers);
    EXPECT_EQ(ask(0, "/o/1", "once", "POST").status, 502U);
    EXPECT_EQ(platform_->runs_of("once"), 1U);
    EXPECT_EQ(ask(0, "/l/1", "twice").status, 502U);
    EXPECT_EQ(platform_->runs_of("twice"), 2U);
}

// Guards against a refusal although another target can take the request, and against one
// that is not true.
TEST_F(platform_path_test, a_request_that_is_shed_goes_to_another_target)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_TRUE(ready(0));
    platform_->set_behaviour("single-a", target_behaviour::sheds);
    EXPECT_EQ(ask(0, "/o/1", "shed-1", "POST").status, 200U);
    EXPECT_EQ(ask(0, "/o/2", "shed-2", "POST").status, 200U);
    platform_->set_behaviour("single-b", target_behaviour::sheds);
    const http::target_result refused = ask(0, "/o/3", "shed-3", "POST");
    EXPECT_EQ(refused.status, 503U);
    EXPECT_TRUE(refused.header("Retry-After").has_value());
    EXPECT_EQ(platform_->runs_of("shed-3"), 0U);
}

// Guards against a request that is held past its route's time limit.
TEST_F(platform_path_test, a_request_gets_its_answer_at_the_routes_time_limit)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7, 400)));
    ASSERT_TRUE(ready(0));
    platform_->set_behaviour("single-a", target_behaviour::hangs);
    platform_->set_behaviour("single-b", target_behaviour::hangs);
    const http::target_result late = ask(0, "/o/1", "late", "POST");
    EXPECT_EQ(late.status, 504U);
    EXPECT_LT(late.elapsed, base::duration(900));
}

// Guards against work that goes to a target which is about to stop.
TEST_F(platform_path_test, a_draining_target_gets_nothing_after_three_seconds)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_TRUE(ready(0));
    platform_->set_state("single-a", "draining");
    const auto since = std::chrono::steady_clock::now();
    ASSERT_TRUE(wait_until([&] {
        return std::chrono::steady_clock::now() - since > std::chrono::milliseconds(3000);
    }));
    for (int i = 0; i < 10; ++i) {
        ask(0, "/l/1", "after-" + std::to_string(i));
    }
    for (const auto& run : platform_->journal()) {
        EXPECT_FALSE(run.attempt.starts_with("after-") && run.target == "single-a");
    }
}

// Guards against an acknowledged configuration that a leader takes with it, and against a
// core that can't go on without it.
TEST_F(platform_path_test, configurations_survive_the_loss_of_members_and_of_a_disk)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_TRUE(wait_until([&] { return voters_added() == 2; }));
    cores_[0]->kill_now();
    ASSERT_TRUE(replace(configuration(8)));
    // It comes back with an empty disk, under an identity of its own.
    child_process& back = start_core(0, false, "empty");
    ASSERT_TRUE(wait_until([&] { return version_read_back() == 8; }));
    // Its repair is finished once it holds the newest configuration as a voter.
    ASSERT_TRUE(wait_until([&] {
        return cores_[1]->output().find("replaced=" + vms_[0]) != std::string::npos ||
               cores_[2]->output().find("replaced=" + vms_[0]) != std::string::npos;
    }));
    ASSERT_TRUE(replace(configuration(9)));
    ASSERT_TRUE(
        wait_until([&] { return back.output().find("version=9") != std::string::npos; }));
    cores_[1]->kill_now();
    EXPECT_TRUE(replace(configuration(10)));
    EXPECT_TRUE(wait_until([&] { return version_read_back() == 10; }));
    ASSERT_TRUE(ready(1));
    EXPECT_EQ(ask(1, "/o/1", "after", "POST").status, 200U);
}

// Guards against a first start in which the VMs without a disk, which may be all the
// seeds that a process knows, lead nowhere.
TEST_F(platform_path_test, a_core_process_without_a_disk_leads_to_the_others)
{
    seeds_ = 1;
    child_process& observer =
        start("curranthoist-core", {"--settings", settings(0, true, "")});
    for (std::size_t vm = 1; vm < 3; ++vm) {
        cores_.push_back(&start_core(vm));
        fronts_.push_back(&start_front(vm));
    }
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_TRUE(wait_until([&] { return voters_added() == 1; }));
    // The observer, the only seed, forgets whom it knew.
    observer.kill_now();
    for (std::size_t i = 0; i < 2; ++i) {
        cores_[i]->kill_now();
        fronts_[i]->kill_now();
    }
    start("curranthoist-core", {"--settings", settings(0, false, "")});
    for (std::size_t vm = 1; vm < 3; ++vm) {
        start_core(vm, false);
        start_front(vm);
    }
    ASSERT_TRUE(ready(1));
    EXPECT_EQ(send({vms_[0], operators_port},
                   {.method = "GET", .path = "/v1/configuration/get"})
                  .status,
              http::status::temporary_redirect);
    EXPECT_EQ(version_read_back(), 7U);
    ASSERT_TRUE(ready(1));
    EXPECT_EQ(ask(1, "/o/1", "one", "POST").status, 200U);
}

// Guards against a core process that ends again and again while its disk refuses writes,
// and against one that never becomes a member afterwards.
TEST_F(platform_path_test, a_core_process_waits_for_a_disk_that_takes_writes)
{
    // A file stands where the folder is to be.
    const std::string blocked = folder() + "/data-0-disk";
    std::ofstream(blocked) << "x";
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_TRUE(wait_until([&] { return voters_added() == 1; }));
    EXPECT_NE(cores_[0]->output().find("event=disk_unusable"), std::string::npos);
    EXPECT_TRUE(cores_[0]->is_running());
    std::filesystem::remove(blocked);
    EXPECT_TRUE(wait_until([&] { return voters_added() == 2; }));
    EXPECT_EQ(version_read_back(), 7U);
}

// Four members with a disk beside three core processes without one, which are the seeds
// of all and can be lost together.
class lost_seeds_test : public platform_fixture
{
protected:
    static constexpr std::size_t seed_count = 3;
    static constexpr std::size_t vm_count = 7;
    static constexpr std::size_t last = vm_count - 1;

    lost_seeds_test()
    {
        add_vms(vm_count);
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            cores_.push_back(&start_core(vm, true, vm < seed_count ? "" : "disk"));
        }
    }
    // Waits until all members vote, and then loses the seeds.
    void lose_seeds()
    {
        ASSERT_TRUE(replace(configuration(7)));
        ASSERT_TRUE(wait_until([&] { return voters_added() == 3; }));
        for (std::size_t vm = 0; vm < seed_count; ++vm) {
            cores_[vm]->kill_now();
        }
    }
    // The number of processes that know this many voters.
    std::size_t members_with(std::int64_t voters)
    {
        std::size_t count = 0;
        for (std::size_t vm = seed_count; vm < vm_count; ++vm) {
            count += core_metric(vm, "curranthoist_core_voters") == voters ? 1 : 0;
        }
        return count;
    }
    bool is_voter(std::size_t vm)
    {
        return core_metric(vm, "curranthoist_core_votes") == 1;
    }
};

// Guards against a member that lost its disk and never gets back into the log while its
// seeds are down, so that the next lost disk takes everything acknowledged with it.
TEST_F(lost_seeds_test, a_member_without_its_disk_comes_back_and_the_next_disk_may_go)
{
    lose_seeds();
    cores_[last]->kill_now();
    child_process& back = start_core(last, false, "empty");
    ASSERT_TRUE(wait_until([&] { return is_voter(last); }));
    ASSERT_TRUE(replace(configuration(8)));
    // All lose power, and one of them its disk. The seeds stay down.
    for (std::size_t vm = seed_count; vm < last; ++vm) {
        cores_[vm]->kill_now();
    }
    back.kill_now();
    start_core(last, false, "empty");
    start_core(seed_count, false, "empty");
    for (std::size_t vm = seed_count + 1; vm < last; ++vm) {
        start_core(vm, false, "disk");
    }
    EXPECT_TRUE(wait_until([&] { return version_read_back() == 8; }));
    EXPECT_TRUE(replace(configuration(9)));
    EXPECT_TRUE(wait_until([&] { return is_voter(seed_count); }));
}

// Guards against a member that was removed for its silence, comes back without its disk
// and is told by nobody where the log is while its seeds are down.
TEST_F(lost_seeds_test, a_removed_member_without_its_disk_comes_back)
{
    lose_seeds();
    cores_[last]->kill_now();
    ASSERT_TRUE(wait_until([&] { return members_with(3) == 3; }, base::duration(15'000)));
    start_core(last, false, "empty");
    EXPECT_TRUE(wait_until([&] { return is_voter(last); }));
    EXPECT_TRUE(wait_until([&] { return members_with(4) == 4; }));
}

// Guards against a core process that observes, since its disk takes no writes, and knows
// no leader while its seeds are down.
TEST_F(lost_seeds_test, an_observer_is_told_of_the_members_by_those_that_dial_it)
{
    lose_seeds();
    cores_[last]->kill_now();
    // A file stands where the folder is to be.
    std::ofstream(folder() + "/data-" + std::to_string(last) + "-blocked") << "x";
    start_core(last, false, "blocked");
    EXPECT_TRUE(wait_until([&] {
        return send({vms_[last], operators_port},
                    {.method = "GET", .path = "/v1/configuration/get"})
                   .status == http::status::temporary_redirect;
    }));
}

// Guards against state that only the processes' memory held.
TEST_F(platform_path_test, everything_acknowledged_is_back_after_all_were_killed)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_EQ(operate("POST", "/v1/evacuation/z9/start", ""), 200U);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        EXPECT_TRUE(wait_until(
            [&] { return core_metric(vm, "curranthoist_evacuated_zones") == 1; }));
    }
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cores_[vm]->kill_now();
        fronts_[vm]->kill_now();
    }
    for (std::size_t vm = 0; vm < 3; ++vm) {
        start_core(vm, false);
        start_front(vm);
    }
    EXPECT_TRUE(wait_until([&] { return version_read_back() == 7; }));
    ASSERT_TRUE(ready(2));
    EXPECT_EQ(ask(2, "/o/1", "after", "POST").status, 200U);
}

// Guards against a stop that cuts a request under way or does not end.
TEST_F(platform_path_test, a_stop_answers_what_was_taken_and_ends)
{
    start_all();
    ASSERT_TRUE(replace(configuration(7)));
    ASSERT_TRUE(ready(0));
    fronts_[0]->send_signal(SIGTERM);
    ASSERT_TRUE(wait_until([&] {
        return send({vms_[0], readiness_port}, {.method = "GET", .path = "/v1/readiness"})
                   .status == 503U;
    }));
    EXPECT_EQ(ask(0, "/o/1", "stopping", "POST").status, 200U);
    EXPECT_EQ(fronts_[0]->wait_for_exit(base::duration(6000)), 0);
}

// Guards against a process that ends because the fixture writes its settings file anew
// while it reads it.
TEST_F(platform_path_test, a_settings_file_is_whole_at_any_time)
{
    constexpr int rewrites = 3000;
    const std::string path = settings(0, true, "disk");
    std::atomic<bool> done = false;
    int damaged = 0;
    std::thread reader([&] {
        while (!done) {
            std::ifstream file(path);
            std::string first;
            std::string text;
            for (std::string line; std::getline(file, line); text = line) {
                first = first.empty() ? line : first;
            }
            damaged += first.starts_with("node_name=") &&
                               text.starts_with("cloud_api.max_lag_ms=")
                           ? 0
                           : 1;
        }
    });
    for (int i = 0; i < rewrites; ++i) {
        settings(0, true, "disk");
    }
    done = true;
    reader.join();
    EXPECT_EQ(damaged, 0);
}

// Guards against requests that are cut off without an answer at the end of a stop,
// because their targets are silent or because they still wait for a connection.
TEST_F(platform_path_test, a_stop_answers_what_is_still_open_at_its_end)
{
    constexpr unsigned deadline_ms = 9000;
    constexpr std::size_t order_count = 6;
    start_all();
    nlohmann::json wanted = configuration(7, deadline_ms);
    // One connection of each front to each target.
    wanted["services"][2]["max_connections"] = vms_.size();
    ASSERT_TRUE(replace(wanted));
    ASSERT_TRUE(ready(0));
    platform_->set_behaviour("single-a", target_behaviour::hangs);
    platform_->set_behaviour("single-b", target_behaviour::hangs);
    const std::vector<http::target_result> answers =
        order_at_once(0, order_count, base::duration(deadline_ms),
                      [this] { fronts_[0]->send_signal(SIGTERM); });
    EXPECT_EQ(fronts_[0]->wait_for_exit(base::duration(1000)), 0);
    for (std::size_t i = 0; i < order_count; ++i) {
        EXPECT_EQ(answers[i].outcome, http::call_outcome::ok);
        const bool has_run = platform_->runs_of("order-" + std::to_string(i)) > 0;
        EXPECT_TRUE(answers[i].status == http::status::gateway_timeout ||
                    (answers[i].status == http::status::service_unavailable && !has_run));
    }
}

} // namespace
} // namespace curranthoist::testing
