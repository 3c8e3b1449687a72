#include "curranthoist/testing/proof/deployment.hpp"

#include <gmock/gmock.h>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>

namespace curranthoist::testing {
namespace {

using nlohmann::json;

class order_proof_test : public deployment
{
protected:
    void start_serving(unsigned vms = 3, unsigned order_targets = 3)
    {
        start_control();
        add_service("book", true, 1, order_targets);
        add_vms(vms);
        ASSERT_TRUE(wait_until([&] {
            for (unsigned vm = 0; vm < vms; ++vm) {
                const std::string id = new_order_id("warm-" + std::to_string(vm));
                if (order(vm, "book", id).status != 200) {
                    return false;
                }
            }
            return true;
        })) << vms_[0].process->output();
    }
    void fault_everywhere(const json& command)
    {
        for (const auto& [name, one] : targets_) {
            fault(name, command);
        }
    }
    std::map<std::string, unsigned> all_order_runs()
    {
        std::map<std::string, unsigned> result;
        for (const auto& [name, one] : targets_) {
            for (const json& run : runs(name)) {
                ++result[run["request_id"]];
            }
        }
        return result;
    }
    std::uint64_t claims() { return from_leader("/v1/status")["claims"]; }
    // Resends through another VM until the end of the first attempt is known, and checks
    // it against the journals: `ran` needs a run, and there is at most one in any case.
    void check_resend(const std::string& id)
    {
        http::target_result last;
        bool ran = false;
        EXPECT_TRUE(wait_until(
            [&] {
                last = order(1, "book", id);
                const json body = json::parse(last.body, nullptr, false);
                ran = last.status == 200 && body.value("outcome", "") == "ran";
                const bool unknown =
                    last.body.find("ended without a known outcome") != std::string::npos;
                return ran || unknown;
            },
            base::duration(15'000)))
            << last.status << last.body;
        const std::size_t count = order_runs(id);
        EXPECT_LE(count, 1U) << id;
        EXPECT_TRUE(!ran || count == 1) << last.body;
    }
    // Kills VM 0 while it has an order in flight, once `reached` holds.
    template <class Condition>
    void kill_in_the_middle(const std::string& id, const Condition& reached)
    {
        // A VM that has just started may refuse, so the order is sent until it ran or its
        // connection broke.
        std::thread caller([&] {
            wait_until([&] {
                const auto answer = order(0, "book", id);
                return answer.outcome != http::call_outcome::ok || answer.status == 200;
            });
        });
        EXPECT_TRUE(wait_until(reached)) << id;
        vms_[0].process->kill_now();
        caller.join();
        check_resend(id);
        start_vm(0);
        EXPECT_TRUE(wait_until([&] { return is_ready(0); }));
    }
};

// R7: an order that runs again when its VM dies after the claim, during the run, or
// before the outcome is recorded.
TEST_F(order_proof_test, a_vm_killed_at_any_step_of_an_order_causes_no_second_run)
{
    start_serving();
    const std::uint64_t claimed = claims();
    kill_in_the_middle(new_order_id("claimed"), [&] { return claims() > claimed; });
    fault_everywhere({{"fault", "straggle"}, {"ms", 400}});
    const std::string running = new_order_id("running");
    kill_in_the_middle(running, [&] { return order_runs(running) == 1; });
    fault_everywhere({{"fault", "clear"}});
    fault_everywhere({{"fault", "late"}, {"ms", 400}});
    const std::string answered = new_order_id("answered");
    kill_in_the_middle(answered, [&] {
        for (const auto& [name, one] : targets_) {
            for (const json& run : runs(name)) {
                if (run["request_id"] == answered && run["end"] == "completed") {
                    return true;
                }
            }
        }
        return false;
    });
    fault_everywhere({{"fault", "clear"}});
    const std::string sent = new_order_id("sent");
    kill_in_the_middle(sent, [] { return true; });
}

// R9, R7: an order cut or run twice by a planned stop of its VM.
TEST_F(order_proof_test, a_stop_with_orders_in_flight_cuts_none)
{
    start_serving();
    fault_everywhere({{"fault", "straggle"}, {"ms", 100}});
    std::mutex mutex;
    std::vector<std::pair<std::string, std::string>> answers;
    std::atomic<bool> stopped{false};
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 3; ++i) {
        callers.emplace_back([&, i] {
            for (unsigned n = 0; !stopped; ++n) {
                const std::string id =
                    new_order_id(std::to_string(i) + "-" + std::to_string(n));
                const auto result = order(0, "book", id);
                if (result.outcome == http::call_outcome::could_not_connect) {
                    continue;
                }
                const json body = json::parse(result.body, nullptr, false);
                const std::lock_guard lock(mutex);
                answers.emplace_back(id, body.is_object() ? body.value("outcome", "none")
                                                          : "cut");
            }
        });
    }
    const auto count = [&] {
        const std::lock_guard lock(mutex);
        return answers.size();
    };
    EXPECT_TRUE(wait_until([&] { return count() >= 6; }));
    vms_[0].process->send_signal(SIGTERM);
    EXPECT_EQ(vms_[0].process->wait_for_exit(), 0) << vms_[0].process->output();
    stopped = true;
    for (std::thread& one : callers) {
        one.join();
    }
    // A refusal may leave open what an earlier attempt did, but here there was none. An
    // order that ran must have been answered so.
    const std::map<std::string, unsigned> ran = all_order_runs();
    std::vector<std::string> wrong;
    for (const auto& [id, outcome] : answers) {
        const auto found = ran.find(id);
        const unsigned times = found == ran.end() ? 0 : found->second;
        if (outcome == "cut" || outcome == "none" ||
            times != (outcome == "ran" ? 1U : 0U)) {
            std::string text = id;
            text.append(": ")
                .append(outcome)
                .append(", runs: ")
                .append(std::to_string(times));
            wrong.push_back(std::move(text));
        }
    }
    EXPECT_THAT(wrong, ::testing::IsEmpty());
}

// R6, R7: "not run" said of an order whose answer was damaged after it had run.
TEST_F(order_proof_test, a_damaged_answer_to_an_order_never_means_not_run)
{
    // One target, so that it has an earlier answer to repeat.
    start_serving(2, 1);
    for (const json& command :
         {json({{"fault", "truncate"}}), json({{"fault", "repeat"}}),
          json({{"fault", "hang"}}), json({{"fault", "late"}, {"ms", 3000}})}) {
        fault_everywhere(command);
        const std::string id = new_order_id(command["fault"]);
        const auto answer = order(0, "book", id);
        const json body = json::parse(answer.body, nullptr, false);
        ASSERT_TRUE(body.is_object()) << command;
        EXPECT_EQ(body.value("outcome", ""), "outcome unknown") << command << body;
        fault_everywhere({{"fault", "clear"}});
        check_resend(id);
        EXPECT_EQ(order_runs(id), 1U) << command;
    }
}

} // namespace
} // namespace curranthoist::testing
