// Targets in trouble, and a list with entries of another writer, against real processes.
#include "curranthoist/http/status.hpp"
#include "curranthoist/testing/endless_server.hpp"
#include "curranthoist/testing/malformed_answers.hpp"
#include "curranthoist/testing/platform/platform_fixture.hpp"
#include "curranthoist/testing/raw_target.hpp"
#include "curranthoist/testing/repeating_answers.hpp"

#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace curranthoist::testing {
namespace {

class target_trouble_test : public platform_fixture
{
protected:
    target_trouble_test()
    {
        add_vms(3);
        start_all();
    }
    void serve()
    {
        ASSERT_TRUE(replace(configuration(7)));
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            ASSERT_TRUE(ready(vm));
        }
    }
    std::size_t arrivals() const
    {
        return platform_->arrivals_at("single-a") + platform_->arrivals_at("single-b");
    }
    static void wait(std::int64_t milliseconds)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }
};

// Guards against requests to a target that said in an answer that it is leaving, while
// the list still names it as ready.
TEST_F(target_trouble_test, a_target_that_says_it_is_leaving_gets_nothing_more)
{
    serve();
    platform_->set_behaviour("single-a", target_behaviour::leaves);
    platform_->set_behaviour("s0-a", target_behaviour::leaves);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(ask(0, "/o/1", "before-" + std::to_string(i), "POST").status, 200U);
        EXPECT_EQ(ask(0, "/q/1", "query-" + std::to_string(i)).status, 200U);
    }
    const std::size_t at_single = platform_->arrivals_at("single-a");
    const std::size_t at_shard = platform_->arrivals_at("s0-a");
    EXPECT_LE(at_single, 1U);
    EXPECT_LE(at_shard, 1U);
    // Readings of the list, which names it as ready, change nothing.
    wait(2000);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(ask(0, "/o/1", "after-" + std::to_string(i), "POST").status, 200U);
        EXPECT_EQ(ask(0, "/q/1", "later-" + std::to_string(i)).status, 200U);
    }
    EXPECT_EQ(platform_->arrivals_at("single-a"), at_single);
    EXPECT_EQ(platform_->arrivals_at("s0-a"), at_shard);
    // It has restarted under its id: its health says so, and it is used again.
    platform_->set_behaviour("single-a", target_behaviour::answers);
    platform_->set_behaviour("single-b", target_behaviour::sheds);
    EXPECT_TRUE(
        wait_until([&] { return ask(0, "/o/1", "back", "POST").status == 200U; }));
}

// Guards against requests, health requests too, to a target that wants a pause, and
// against callers that are told to come back during it.
TEST_F(target_trouble_test, a_target_that_wants_a_pause_gets_nothing_until_it_ends)
{
    serve();
    platform_->set_behaviour("single-a", target_behaviour::wants_pause);
    platform_->set_behaviour("single-b", target_behaviour::wants_pause);
    const http::target_result refused = ask(0, "/o/1", "first", "POST");
    EXPECT_EQ(refused.status, 503U);
    EXPECT_GT(std::stod(refused.header("Retry-After").value_or("0")), 1.5);
    EXPECT_EQ(arrivals(), 2U);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(ask(0, "/o/1", "paused-" + std::to_string(i), "POST").status, 503U);
        wait(100);
    }
    EXPECT_EQ(arrivals(), 2U);
    platform_->set_behaviour("single-a", target_behaviour::answers);
    EXPECT_TRUE(
        wait_until([&] { return ask(0, "/o/1", "after", "POST").status == 200U; }));
}

// Guards against requests that wait for a connection to a target and reach it long after
// it was listed as draining, while others are idle.
TEST_F(target_trouble_test, what_waits_for_a_target_that_drains_goes_to_another)
{
    constexpr base::duration work{400};
    constexpr base::duration drain_timeout{3000};
    constexpr unsigned deadline_ms = 8000;
    constexpr std::size_t order_count = 14;
    constexpr std::uint16_t port = 9400;
    stand_in_platform::target leaving{"d-a", "drained", {new_address(), port}};
    leaving.work = work;
    platform_->add(leaving);
    platform_->add({"d-b", "drained", {new_address(), port}, "draining"});
    nlohmann::json wanted = configuration(7, deadline_ms);
    nlohmann::json service = wanted["services"][0];
    service["name"] = "drained";
    // One connection of each front.
    service["max_connections"] = vms_.size();
    wanted["services"].push_back(service);
    wanted["routes"][1]["service"] = "drained";
    ASSERT_TRUE(replace(wanted));
    ASSERT_TRUE(ready(0));
    base::instant drained;
    const std::vector<http::target_result> answers =
        order_at_once(0, order_count, base::duration(deadline_ms), [&] {
            platform_->set_state("d-b", "ready");
            platform_->set_state("d-a", "draining");
            drained = base::monotonic_clock().now();
        });
    for (const http::target_result& answer : answers) {
        EXPECT_EQ(answer.status, 200U);
    }
    std::size_t late = 0;
    std::size_t at_other = 0;
    for (const stand_in_platform::run& run : platform_->journal()) {
        late += run.target == "d-a" && run.at > drained + drain_timeout ? 1 : 0;
        at_other += run.target == "d-b" ? 1 : 0;
    }
    EXPECT_EQ(late, 0U);
    EXPECT_GT(at_other, 0U);
}

// Guards against an order that is refused, or sent once more, while it runs: a late copy
// of its first rejection is no answer to its second send.
TEST_F(target_trouble_test, a_late_copy_of_a_rejection_says_nothing_about_the_second_send)
{
    const std::string id = "r-a";
    const base::endpoint local{new_address(), 9500};
    raw_target<repeating_answers> repeating(local, id);
    stand_in_platform::target listed{id, "repeating", {new_address(), 9500}};
    listed.listed_address = local;
    platform_->add(listed);
    nlohmann::json wanted = configuration(7);
    nlohmann::json service = wanted["services"][0];
    service["name"] = "repeating";
    wanted["services"].push_back(service);
    wanted["routes"][1]["service"] = "repeating";
    ASSERT_TRUE(replace(wanted));
    ASSERT_TRUE(ready(0));
    for (int i = 0; i < 5; ++i) {
        const std::string attempt = "order-" + std::to_string(i);
        EXPECT_EQ(ask(0, "/o/1", attempt, "POST").status, 200U);
        EXPECT_EQ(repeating.script().runs_of(attempt), 1);
    }
}

// Guards against callers that get an answer without a status, or that wait for another
// one until their deadline.
TEST_F(target_trouble_test, an_answer_without_a_valid_status_fails_at_once)
{
    constexpr std::uint16_t port = 9600;
    constexpr unsigned deadline_ms = 8000;
    constexpr base::duration patience{16'000};
    // The answer was known at once; this leaves a slow machine room.
    constexpr base::duration limit{deadline_ms / 2};
    const std::string id = "m-a";
    const base::endpoint local{new_address(), port};
    raw_target<malformed_answers> malformed(local, id);
    stand_in_platform::target listed{id, "malformed", {new_address(), port}};
    listed.listed_address = local;
    platform_->add(listed);
    nlohmann::json wanted = configuration(7, deadline_ms);
    nlohmann::json service = wanted["services"][0];
    service["name"] = "malformed";
    wanted["services"].push_back(service);
    wanted["routes"][1]["service"] = "malformed";
    ASSERT_TRUE(replace(wanted));
    ASSERT_TRUE(ready(0));
    unsigned number = 0;
    for (const char* const start_line :
         {"HTTP/1.1 999 None", "HTTP/1.1 000 None", "HTTP/1.1 0", "HTTP/1.1 099 None"}) {
        for (const char* const lines : {"", "Content-Length: 2\r\n"}) {
            malformed.script().set(start_line, lines, "{}");
            const http::target_result answer =
                send({vms_[0], callers_port},
                     {.path = "/o/1",
                      .headers = {{"Host", host},
                                  {"Attempt-Id", "order-" + std::to_string(++number)},
                                  {"Deadline-Milliseconds", std::to_string(deadline_ms)}},
                      .body = "order",
                      .time_limit = patience});
            EXPECT_EQ(answer.outcome, http::call_outcome::ok) << start_line;
            EXPECT_EQ(answer.status, http::status::bad_gateway) << start_line;
            EXPECT_LT(answer.elapsed, limit) << start_line;
        }
    }
}

// Guards against a list that nobody follows any more, or processes that end, because of
// one entry of another writer.
TEST_F(target_trouble_test, an_odd_entry_of_the_list_stops_nobody)
{
    serve();
    const std::string nested(200'000, '[');
    const std::vector<std::string> odd_entries{
        nested + std::string(nested.size(), ']'),
        R"({"id":"i-9","service":"s0","zone":"z1","state":"ready","slots":1e999,)"
        R"("address":"10.0.0.1:99999"})",
        "\"\xFF\xFE\"", R"({"id":"i-9)"};
    unsigned version = 8;
    std::uint16_t port = 9200;
    for (const std::string& odd : odd_entries) {
        platform_->set_odd_entry(odd);
        const std::string service = "late" + std::to_string(version);
        const std::string address = new_address();
        platform_->add({service + "-a", service, {address, port++}});
        nlohmann::json changed = configuration(version++);
        nlohmann::json added = changed["services"][0];
        added["name"] = service;
        changed["services"].push_back(added);
        changed["routes"][2]["service"] = service;
        ASSERT_TRUE(replace(changed));
        const std::string attempt = "use-" + service;
        EXPECT_TRUE(wait_until([&] {
            const auto answer = ask(0, "/l/1", attempt);
            return answer.status == 200U &&
                   answer.header("Server-Stamp").value_or("").starts_with(service);
        })) << odd.substr(0, 40);
    }
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        EXPECT_TRUE(cores_[vm]->is_running());
        EXPECT_TRUE(fronts_[vm]->is_running());
    }
}

std::size_t peak_memory_kb(pid_t id)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

// Guards against memory and time that targets take which send bytes without end, and
// against answers to others that wait for them.
TEST_F(target_trouble_test, targets_that_send_without_end_cost_little)
{
    const std::string id = "single-c";
    const std::string address = new_address();
    const base::endpoint endless{address, 9300};
    const std::string ok = "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n";
    const endless_server server(ok + "Transfer-Encoding: chunked\r\n\r\n",
                                "4000\r\n" + std::string(0x4000, 'b') + "\r\n", endless);
    stand_in_platform::target listed{id, "single", {new_address(), 9300}};
    listed.listed_address = endless;
    platform_->add(listed);
    serve();
    const std::size_t before = peak_memory_kb(fronts_[0]->id());
    ASSERT_GT(before, 0U);
    for (int i = 0; i < 30; ++i) {
        const http::target_result answer = ask(0, "/l/1", "load-" + std::to_string(i));
        EXPECT_EQ(answer.status, 200U) << answer.body;
        EXPECT_FALSE(answer.header("Server-Stamp").value_or("").starts_with("x"));
    }
    // One response holds 4 MiB at most, in a buffer of twice that.
    constexpr std::size_t allowed_kb = 32'768;
    EXPECT_LT(peak_memory_kb(fronts_[0]->id()), before + allowed_kb);
    EXPECT_TRUE(fronts_[0]->is_running());
}

} // namespace
} // namespace curranthoist::testing
