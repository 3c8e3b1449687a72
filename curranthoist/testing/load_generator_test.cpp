#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"
#include "curranthoist/testing/answer_check.hpp"
#include "curranthoist/testing/load_generator.hpp"
#include "curranthoist/testing/query_digest.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace curranthoist::testing {
namespace {

using http::internal::run_until;
using nlohmann::json;
using kind = checked_answer::kind;

const sent_request query = {"r1", "desk", false, query_digest("q")};
const sent_request order = {"r1", "book", true, query_digest("q")};

json result(int shard, const std::string& body = "q", int snapshot = 7)
{
    return {{"shard", shard},
            {"body",
             {{"service", "desk"},
              {"shard", shard},
              {"snapshot", snapshot},
              {"digest", query_digest(body)}}}};
}

json answer(const json& results, int total, const json& missing)
{
    const std::size_t answered = results.size();
    return {{"request_id", "r1"},
            {"service", "desk"},
            {"snapshot", 7},
            {"coverage",
             {{"answered", answered},
              {"total", total},
              {"complete", answered == static_cast<std::size_t>(total)},
              {"missing", missing}}},
            {"results", results}};
}

kind checked(const json& body, unsigned status = 200)
{
    return check_answer(query, status, body.dump()).what;
}

json missing_shard(int shard)
{
    return json::array({{{"shard", shard}, {"reason", "shed"}}});
}

json results_of(const std::vector<json>& results)
{
    return results;
}

TEST(answer_check_test, accepts_truthful_answers)
{
    const checked_answer whole = check_answer(
        query, 200, answer(results_of({result(0), result(1)}), 2, json::array()).dump());
    EXPECT_EQ(whole.what, kind::served) << whole.mistake;
    const checked_answer partial = check_answer(
        query, 200, answer(results_of({result(1)}), 2, missing_shard(0)).dump());
    EXPECT_EQ(partial.what, kind::served);
    EXPECT_EQ(partial.answered, 1U);
    EXPECT_EQ(partial.total, 2U);
    const json ran = {
        {"request_id", "r1"},
        {"service", "book"},
        {"outcome", "ran"},
        {"body",
         json{{"service", "book"}, {"request_id", "r1"}, {"digest", query_digest("q")}}
             .dump()}};
    EXPECT_EQ(check_answer(order, 200, ran.dump()).what, kind::served);
}

TEST(answer_check_test, finds_a_mixed_or_untruthful_answer)
{
    const json none = json::array();
    EXPECT_EQ(checked(answer(results_of({result(0), result(1, "q", 8)}), 2, none)),
              kind::wrong);
    EXPECT_EQ(checked(answer(results_of({result(0), result(1, "other")}), 2, none)),
              kind::wrong);
    EXPECT_EQ(checked(answer(results_of({result(0), result(0)}), 2, none)), kind::wrong);
    EXPECT_EQ(checked(answer(results_of({result(0)}), 2, none)), kind::wrong);
    EXPECT_EQ(checked(answer(results_of({result(0), result(2)}), 2, none)), kind::wrong);
    json swapped = answer(results_of({result(0), result(1)}), 2, none);
    swapped["results"][0]["shard"] = 1;
    swapped["results"][1]["shard"] = 0;
    EXPECT_EQ(checked(swapped), kind::wrong);
    json miscounted = answer(results_of({result(0)}), 2, missing_shard(1));
    miscounted["coverage"]["answered"] = 2;
    EXPECT_EQ(checked(miscounted), kind::wrong);
    json boastful = answer(results_of({result(0)}), 2, missing_shard(1));
    boastful["coverage"]["complete"] = true;
    EXPECT_EQ(checked(boastful), kind::wrong);
    json other = answer(results_of({result(0)}), 1, none);
    other["request_id"] = "r2";
    EXPECT_EQ(checked(other), kind::wrong);
    EXPECT_EQ(check_answer(query, 200, "{").what, kind::wrong);
}

TEST(answer_check_test, tells_refusals_apart)
{
    EXPECT_EQ(checked({{"request_id", "r1"}, {"outcome", "not run"}}, 503),
              kind::refused_not_run);
    EXPECT_EQ(checked({{"request_id", "r1"}, {"outcome", "outcome unknown"}}, 504),
              kind::refused_unknown);
    EXPECT_EQ(checked({{"request_id", "r1"}}, 503), kind::wrong);
}

class load_generator_test : public ::testing::Test
{
protected:
    // Serves complete answers of one shard.
    void on_request(const http::caller_request& request, const http::responder& reply)
    {
        if (request.path == "/ready") {
            reply.respond({.status = ready_ ? 200U : 503U, .body = "{}"});
            return;
        }
        ++received_;
        json body = answer(results_of({result(0, request.body)}), 1, json::array());
        body["request_id"] = *request.header("Request-Id");
        if (received_ % 10 == 0) {
            body["snapshot"] = 8;
        }
        reply.respond({.body = body.dump()});
    }

    ev::dynamic_loop loop_;
    bool ready_ = true;
    int received_ = 0;
    http::caller_server server_{
        loop_,
        {.listen = {"127.0.0.1", 0}},
        [this](const http::caller_request& request, const http::responder& reply) {
            on_request(request, reply);
        }};
};

TEST_F(load_generator_test, counts_wrong_answers_and_reports_latency)
{
    bool done = false;
    load_settings settings;
    settings.entries = {server_.local()};
    settings.query_services = {"desk"};
    settings.rate = 1000;
    settings.arrivals = arrival_pattern::fixed;
    settings.duration = base::duration(200);
    load_generator generator(loop_, settings, [&] { done = true; });
    ASSERT_TRUE(run_until(loop_, [&] { return done; }));
    const json report = generator.report().to_json(false);
    EXPECT_EQ(report["queries"]["sent"], 199);
    EXPECT_EQ(report["queries"]["wrong"], 19);
    EXPECT_EQ(report["queries"]["served"], 180);
    EXPECT_GT(report["queries"]["latency_us"]["p50"], 0);
    EXPECT_EQ(report["intervals"].size(), 1U);
    EXPECT_EQ(generator.report().wrong_answers(), 19U);
}

TEST_F(load_generator_test, an_entry_that_is_not_ready_gets_nothing)
{
    ready_ = false;
    int other_received = 0;
    http::caller_server other(
        loop_, {.listen = {"127.0.0.1", 0}},
        [&](const http::caller_request& request, const http::responder& reply) {
            other_received += request.path == "/ready" ? 0 : 1;
            reply.respond({.body = "{}"});
        });
    bool done = false;
    load_settings settings;
    settings.entries = {server_.local(), other.local()};
    settings.query_services = {"desk"};
    settings.rate = 100;
    settings.duration = base::duration(400);
    load_generator generator(loop_, settings, [&] { done = true; });
    ASSERT_TRUE(run_until(loop_, [&] { return done; }));
    // Requests before the first /ready answer can go to either.
    EXPECT_LE(received_, 2);
    EXPECT_GE(other_received, 10);
}

} // namespace
} // namespace curranthoist::testing
