#include "curranthoist/http/internal/raw_peer.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/testing/fault_parser.hpp"
#include "curranthoist/testing/query_digest.hpp"
#include "curranthoist/testing/stand_in_target.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::testing {
namespace {

using http::call_outcome;
using http::target_call;
using http::target_result;
using http::internal::run_until;
using nlohmann::json;

class stand_in_target_test : public ::testing::Test
{
protected:
    stand_in_target_test()
    {
        settings_.listen = {"127.0.0.1", 0};
        settings_.admin_listen = {"127.0.0.1", 0};
        settings_.id = "desk-3a";
        settings_.service = "desk";
        settings_.service_ms = 1;
        settings_.snapshots = {{7, 3, 20}};
    }

    void start_target()
    {
        target_.emplace(loop_, settings_);
        client_.emplace(loop_, target_->local(), 16);
        admin_.emplace(loop_, target_->admin_local(), 1);
    }
    static target_call part(const std::string& id, const std::string& snapshot = "7")
    {
        return {.path = "/v1/part?service=desk&shard=3&snapshot=" + snapshot,
                .headers = {{"Request-Id", id}, {"Deadline-Ms", "1000"}},
                .body = "query " + id,
                .time_limit = base::duration(2000)};
    }
    static target_call order(const std::string& id)
    {
        target_call call = part(id);
        call.path = "/v1/order?service=desk";
        call.fresh_connection = true;
        return call;
    }
    http::target_client::call_number begin(target_call call)
    {
        return client_->start(std::move(call), [this](target_result result) {
            results_.push_back(std::move(result));
        });
    }
    bool finish(std::size_t count)
    {
        return run_until(loop_, [&] { return results_.size() >= count; });
    }
    target_result call(target_call request)
    {
        const std::size_t before = results_.size();
        begin(std::move(request));
        EXPECT_TRUE(finish(before + 1));
        return results_.size() > before ? results_.back() : target_result{};
    }
    target_result ask_admin(target_call request)
    {
        std::optional<target_result> answer;
        admin_->start(std::move(request),
                      [&](target_result result) { answer = std::move(result); });
        EXPECT_TRUE(run_until(loop_, [&] { return answer.has_value(); }));
        return answer.value_or(target_result{});
    }
    void set_fault(const json& command)
    {
        const target_result answer =
            ask_admin({.path = "/fault", .body = command.dump()});
        EXPECT_EQ(answer.status, 200U) << answer.body;
    }
    json summary()
    {
        return json::parse(ask_admin({.method = "GET", .path = "/journal/summary"}).body);
    }
    json status()
    {
        return json::parse(call({.method = "GET", .path = "/v1/status"}).body);
    }
    bool event_counted(const std::string& name, int count)
    {
        return run_until(loop_,
                         [&] { return summary()["events"].value(name, 0) == count; });
    }

    ev::dynamic_loop loop_;
    target_settings settings_;
    std::optional<stand_in_target> target_;
    std::optional<http::target_client> client_;
    std::optional<http::target_client> admin_;
    std::vector<target_result> results_;
};

TEST_F(stand_in_target_test, an_answer_tells_what_it_belongs_to)
{
    start_target();
    const target_result answer = call(part("r1"));
    ASSERT_EQ(answer.outcome, call_outcome::ok);
    EXPECT_EQ(answer.header("Request-Id"), "r1");
    EXPECT_EQ(answer.header("Snapshot"), "7");
    EXPECT_EQ(answer.header("Shard"), "3");
    EXPECT_EQ(answer.header("Result-Length"), std::to_string(answer.body.size()));
    const json body = json::parse(answer.body);
    EXPECT_EQ(body["target"], "desk-3a");
    EXPECT_EQ(body["digest"], query_digest("query r1"));
    const json line = json::parse(ask_admin({.method = "GET", .path = "/journal"}).body);
    EXPECT_EQ(line["request_id"], "r1");
    EXPECT_EQ(line["end"], "completed");
    EXPECT_EQ(line["snapshot"], 7);
    EXPECT_EQ(status()["boot_id"], *answer.header("Boot-Id"));
}

TEST_F(stand_in_target_test, work_over_the_slots_is_shed_and_journalled)
{
    settings_.service_ms = 100;
    start_target();
    for (const char* id : {"a", "b", "c"}) {
        begin(part(id));
    }
    ASSERT_TRUE(finish(3));
    EXPECT_EQ(results_[0].status, 503U);
    EXPECT_EQ(results_[0].header("Not-Run"), "true");
    const json figures = summary();
    EXPECT_EQ(figures["events"]["shed_slots"], 1);
    EXPECT_EQ(figures["peak_slots"], 2);
    EXPECT_EQ(figures["parts"]["completed"], 2);
}

TEST_F(stand_in_target_test, connections_over_the_limit_are_journalled_and_closed)
{
    settings_.connections = 2;
    start_target();
    const http::internal::raw_peer first(target_->local());
    const http::internal::raw_peer second(target_->local());
    http::internal::raw_peer third(target_->local());
    EXPECT_TRUE(run_until(loop_, [&] { return third.ended(); }));
    EXPECT_EQ(summary()["events"]["excess_connections"], 1);
    EXPECT_EQ(summary()["peak_connections"], 2);
}

TEST_F(stand_in_target_test, a_new_connection_costs_time)
{
    settings_.connect_cost_ms = 30;
    start_target();
    EXPECT_GE(call(part("a")).elapsed, base::duration(30));
    EXPECT_LT(call(part("b")).elapsed, base::duration(30));
}

TEST_F(stand_in_target_test, refusals_say_not_run_and_run_nothing)
{
    start_target();
    EXPECT_EQ(call(part("a", "8")).status, 410U);
    target_call late = part("b");
    late.headers["Deadline-Ms"] = "0";
    const target_result expired = call(std::move(late));
    EXPECT_EQ(expired.status, 504U);
    EXPECT_EQ(expired.header("Not-Run"), "true");
    set_fault({{"fault", "drain"}});
    EXPECT_EQ(call(part("c")).status, 503U);
    EXPECT_EQ(status()["draining"], true);
    EXPECT_EQ(summary()["parts"]["started"], 0);
    set_fault({{"fault", "clear"}});
    EXPECT_EQ(call(part("d")).status, 200U);
}

TEST_F(stand_in_target_test, a_cancelled_run_frees_its_slot)
{
    settings_.service_ms = 60'000;
    start_target();
    const auto number = begin(part("a"));
    ASSERT_TRUE(run_until(loop_, [&] { return summary()["slots_in_use"] == 1; }));
    client_->cancel(number);
    EXPECT_TRUE(run_until(loop_, [&] { return summary()["slots_in_use"] == 0; }));
    EXPECT_EQ(summary()["parts"]["cancelled"], 1);
}

TEST_F(stand_in_target_test, an_order_that_runs_twice_is_counted)
{
    settings_.journal_parts = 1;
    start_target();
    for (const char* id : {"x", "y", "x"}) {
        EXPECT_EQ(call(order(id)).status, 200U);
        call(part(id));
    }
    EXPECT_EQ(summary()["duplicate_orders"], 1);
    const std::string lines = ask_admin({.method = "GET", .path = "/journal"}).body;
    EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 4);
}

TEST_F(stand_in_target_test, a_cold_target_collapses_under_more_than_it_bears)
{
    settings_.cold_time = base::duration(60'000);
    settings_.service_ms = 20;
    start_target();
    EXPECT_GE(call(part("alone")).elapsed, base::duration(78));
    begin(part("a"));
    begin(part("b"));
    ASSERT_TRUE(finish(3));
    EXPECT_EQ(summary()["events"]["shed_cold"], 1);
    // Four times slower because it is cold, and four times again because it collapsed.
    EXPECT_GE(call(part("c")).elapsed, base::duration(315));
}

TEST_F(stand_in_target_test, stalled_connections_stay_silent_while_new_ones_work)
{
    start_target();
    const target_result before = call(part("a"));
    set_fault({{"fault", "stall_connections"}});
    target_call silent = part("b");
    silent.time_limit = base::duration(50);
    const target_result lost = call(std::move(silent));
    EXPECT_EQ(lost.outcome, call_outcome::timed_out);
    EXPECT_EQ(lost.connection, before.connection);
    const target_result after = call(part("c"));
    EXPECT_EQ(after.outcome, call_outcome::ok);
    EXPECT_TRUE(after.connection_was_new);
    EXPECT_EQ(summary()["parts"]["started"], 2);
}

TEST_F(stand_in_target_test, wrong_answers_are_told_apart_from_right_ones)
{
    start_target();
    call(part("a"));
    set_fault({{"fault", "truncate"}, {"count", 1}});
    EXPECT_EQ(call(part("b")).outcome, call_outcome::truncated);
    set_fault({{"fault", "repeat"}, {"count", 1}});
    EXPECT_EQ(call(part("c")).outcome, call_outcome::mismatched);
    set_fault({{"fault", "wrong_snapshot"}, {"count", 1}});
    EXPECT_EQ(call(part("d")).header("Snapshot"), "8");
    EXPECT_EQ(call(part("e")).header("Snapshot"), "7");
}

TEST_F(stand_in_target_test, crossed_answers_are_not_accepted)
{
    start_target();
    set_fault({{"fault", "crossed"}, {"count", 1}});
    begin(part("a"));
    begin(part("b"));
    ASSERT_TRUE(finish(2));
    EXPECT_EQ(results_[0].outcome, call_outcome::mismatched);
    EXPECT_EQ(results_[1].outcome, call_outcome::mismatched);
    EXPECT_EQ(summary()["events"]["crossed"], 1);
}

TEST_F(stand_in_target_test, late_answers_free_the_slot_and_stragglers_keep_it)
{
    start_target();
    for (const char* name : {"late", "straggle"}) {
        set_fault({{"fault", name}, {"ms", 60'000}, {"count", 1}});
        target_call overdue = part(name);
        overdue.time_limit = base::duration(300);
        begin(std::move(overdue));
        ASSERT_TRUE(run_until(loop_, [&] {
            return summary()["parts"]["started"] == 1 + (name[0] == 's');
        }));
        const int kept = name[0] == 's' ? 1 : 0;
        EXPECT_TRUE(run_until(loop_, [&] { return summary()["slots_in_use"] == kept; }));
        ASSERT_TRUE(finish(results_.size() + 1));
        EXPECT_EQ(results_.back().outcome, call_outcome::timed_out);
    }
}

TEST_F(stand_in_target_test, hang_refuse_and_a_false_status)
{
    start_target();
    set_fault({{"fault", "lie_status"}, {"override", {{"in_use", 9}}}});
    EXPECT_EQ(status()["in_use"], 9);
    set_fault({{"fault", "clear"}, {"name", "lie_status"}});
    EXPECT_EQ(status()["in_use"], 0);
    set_fault({{"fault", "hang"}, {"count", 1}});
    target_call hung = part("a");
    hung.time_limit = base::duration(50);
    EXPECT_EQ(call(std::move(hung)).outcome, call_outcome::timed_out);
    set_fault({{"fault", "refuse"}});
    EXPECT_EQ(call(order("b")).outcome, call_outcome::connection_broken);
    EXPECT_EQ(summary()["orders"]["started"], 0);
}

TEST_F(stand_in_target_test, snapshots_come_and_go)
{
    start_target();
    set_fault({{"fault", "add_snapshot"}, {"version", 8}, {"shard", 3}, {"shards", 30}});
    EXPECT_EQ(call(part("a", "8")).status, 200U);
    set_fault({{"fault", "vanish_snapshot"}, {"version", 7}});
    EXPECT_EQ(call(part("b", "7")).status, 410U);
    const json held = status()["snapshots"];
    EXPECT_EQ(held, json::parse(R"([{"version":8,"shard":3,"shards":30}])"));
}

TEST(fault_parser_test, reports_every_mistake_in_a_command)
{
    base::findings found;
    EXPECT_FALSE(parse_fault(R"({"fault":"late","probability":2,"x":1})", found));
    EXPECT_EQ(found.str(), "body.probability: must be in 0 to 1\n"
                           "body.x: unknown key for this fault\nbody.ms: missing\n");
    base::findings more;
    EXPECT_FALSE(parse_fault("[", more));
    EXPECT_FALSE(parse_fault(R"({"fault":"melt"})", more));
    EXPECT_EQ(more.list().size(), 2U);
}

} // namespace
} // namespace curranthoist::testing
