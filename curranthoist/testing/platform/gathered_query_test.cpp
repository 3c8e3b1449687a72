// Queries that a few front processes gather for the others, with real processes.
#include "curranthoist/testing/platform/platform_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace curranthoist::testing {
namespace {

class gathered_query_test : public platform_fixture
{
protected:
    static constexpr std::size_t shard_count = 64;

    gathered_query_test()
    {
        add_vms(3);
        core_options_ = {"--gather-from-fronts", "2"};
        start_all();
    }
    // Until every front process knows the gatherers and is connected to them.
    void serve()
    {
        ASSERT_TRUE(replace(wide_configuration(7, shard_count)));
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            ASSERT_TRUE(ready(vm));
            ASSERT_TRUE(wait_until([&] { return gathers(vm); })) << vm;
        }
    }
    bool gathers(std::size_t vm)
    {
        const std::string attempt = "warm-up-" + std::to_string(++last_query_);
        ask(vm, "/q/1", attempt);
        return line_of(vm, attempt).find(" gatherers=") != std::string::npos;
    }
    // The log line of the request's end; empty if there is none.
    std::string line_of(std::size_t vm, const std::string& attempt)
    {
        std::string line;
        wait_until([&] {
            const std::string output = fronts_[vm]->output();
            const std::size_t at = output.find("event=request_ended id=" + attempt + " ");
            line = at == std::string::npos
                       ? ""
                       : output.substr(at, output.find('\n', at) - at);
            return !line.empty();
        });
        return line;
    }
    // Asks and checks that the answer is whole, or states truly what is missing.
    http::target_result query(std::size_t vm, std::size_t* missing = nullptr)
    {
        const std::string attempt = "query-" + std::to_string(++last_query_);
        http::target_result answer = ask(vm, "/q/1", attempt);
        if (answer.status != 200U) {
            return answer;
        }
        const std::size_t left_out =
            std::stoul(answer.header("Missing-Parts").value_or("0"));
        const std::string parts = answer.header("Part-Stamps").value_or("");
        const auto named =
            static_cast<std::size_t>(std::count(parts.begin(), parts.end(), ',') + 1);
        EXPECT_EQ(named + left_out, shard_count);
        if (left_out == 0) {
            EXPECT_EQ(answer.body, greatest_records());
        }
        std::map<std::string, std::size_t> runs;
        for (const auto& run : platform_->journal()) {
            runs[run.attempt + "@" + run.target.substr(0, run.target.find('-'))] += 1;
        }
        for (const auto& [key, count] : runs) {
            EXPECT_LE(count, 2U) << key;
        }
        if (missing != nullptr) {
            *missing = left_out;
        }
        return answer;
    }
    // The three greatest records of all shards.
    static std::string greatest_records()
    {
        std::vector<std::string> records;
        for (std::size_t i = 0; i < shard_count; ++i) {
            const std::string part =
                stand_in_platform::records_of("w" + std::to_string(i));
            for (std::size_t at = 0; at < part.size(); at += 16) {
                records.push_back(part.substr(at, 16));
            }
        }
        std::sort(records.rbegin(), records.rend());
        return records[0] + records[1] + records[2];
    }

    std::size_t last_query_ = 0;
};

// Guards against a gathered answer that differs from one that the VM gathered itself.
TEST_F(gathered_query_test, every_vm_answers_with_the_greatest_records_of_all_shards)
{
    serve();
    for (std::size_t i = 0; i < 12; ++i) {
        std::size_t missing = shard_count;
        EXPECT_EQ(query(i % 3, &missing).status, 200U);
        EXPECT_EQ(missing, 0U);
    }
}

// Guards against parts of targets that fail, are lost or hang and that nobody asks for
// again, or that are asked for more often than the route allows.
TEST_F(gathered_query_test, parts_of_targets_in_trouble_come_from_their_copies)
{
    serve();
    platform_->set_behaviour("w1-a", target_behaviour::loses_answers);
    platform_->set_behaviour("w2-a", target_behaviour::hangs);
    platform_->set_behaviour("w3-b", target_behaviour::sheds);
    platform_->set_behaviour("w4-b", target_behaviour::fails);
    platform_->remove("w5-a");
    for (std::size_t i = 0; i < 9; ++i) {
        std::size_t missing = shard_count;
        EXPECT_EQ(query(i % 3, &missing).status, 200U);
        EXPECT_LE(missing, 1U);
    }
}

// Guards against queries that fail, or hang, for longer than a moment after a gatherer
// has died, and against a part that is then asked for a third time.
TEST_F(gathered_query_test, queries_go_on_after_a_gatherer_was_killed)
{
    serve();
    fronts_[2]->kill_now();
    std::size_t failed = 0;
    for (std::size_t i = 0; i < 20; ++i) {
        failed += query(i % 2).status == 200U ? 0 : 1;
    }
    EXPECT_LE(failed, 2U);
    start_front(2);
    ASSERT_TRUE(ready(2));
    EXPECT_EQ(query(2).status, 200U);
}

// Guards against queries that wait out their time for a gatherer which is frozen, and
// against what it does with old requests when it wakes.
TEST_F(gathered_query_test, queries_go_on_while_a_gatherer_is_frozen)
{
    serve();
    fronts_[2]->send_signal(SIGSTOP);
    for (std::size_t i = 0; i < 8; ++i) {
        const http::target_result answer = query(i % 2);
        EXPECT_EQ(answer.status, 200U);
        EXPECT_LT(answer.elapsed, base::duration(900));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    const std::size_t before = platform_->journal().size();
    fronts_[2]->send_signal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_EQ(platform_->journal().size(), before);
    EXPECT_EQ(query(0).status, 200U);
}

// Guards against requests that a stop of a gatherer cuts.
TEST_F(gathered_query_test, a_planned_stop_of_a_gatherer_cuts_no_query)
{
    serve();
    fronts_[2]->send_signal(SIGTERM);
    const auto begun = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(4000)) {
        EXPECT_EQ(query(last_query_ % 2).status, 200U);
    }
    EXPECT_EQ(fronts_[2]->wait_for_exit(base::duration(6000)), 0);
}

} // namespace
} // namespace curranthoist::testing
