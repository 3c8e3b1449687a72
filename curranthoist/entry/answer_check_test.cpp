#include "curranthoist/entry/answer_check.hpp"
#include "curranthoist/entry/status_report.hpp"
#include "curranthoist/http/target_result.hpp"

#include <gtest/gtest.h>

namespace curranthoist::entry {
namespace {

using admission::call_end;
using wire::part_status;

class answer_check_test : public testing::Test
{
protected:
    answer_check_test()
    {
        request_.key = "k";
        request_.snapshot = base::snapshot_version(4);
        request_.shard = base::shard_number(3);
        result_.status = 200;
        result_.body = R"({"a":1})";
        result_.request_may_have_left = true;
        result_.headers = {{"Request-Id", "k"},
                           {"Snapshot", "4"},
                           {"Shard", "3"},
                           {"Boot-Id", "b"},
                           {"Result-Length", "7"}};
    }
    [[nodiscard]] target_answer checked() const
    {
        return check_answer(request_, result_).answer;
    }

    target_request request_;
    http::target_result result_;
};

TEST_F(answer_check_test, accepts_a_response_that_fits_the_request)
{
    EXPECT_EQ(checked().status, part_status::ok);
    EXPECT_EQ(checked().body, result_.body);
    EXPECT_EQ(checked().boot.str(), "b");
}

// R1, R5: a response of another request, snapshot or shard, or a cut one, is counted.
TEST_F(answer_check_test, rejects_each_response_that_does_not_fit)
{
    for (const char* name :
         {"Request-Id", "Snapshot", "Shard", "Result-Length", "Boot-Id"}) {
        const http::target_result whole = result_;
        result_.headers.erase(name);
        EXPECT_EQ(checked().status, part_status::malformed) << name;
        result_ = whole;
        if (std::string_view(name) != "Boot-Id") {
            result_.headers[name] = "9";
            EXPECT_EQ(checked().status, part_status::malformed) << name;
        }
        result_ = whole;
    }
    result_.body = R"({"a":1 )";
    EXPECT_EQ(checked().status, part_status::malformed);
    EXPECT_FALSE(checked().not_run);
}

// R6: "not run" is claimed for a request that may have run.
TEST_F(answer_check_test, says_not_run_only_if_it_is_certain)
{
    result_.status = 503;
    EXPECT_EQ(checked().status, part_status::failed);
    EXPECT_FALSE(checked().not_run);
    result_.headers["Not-Run"] = "true";
    EXPECT_EQ(checked().status, part_status::shed);
    EXPECT_TRUE(checked().not_run);
    result_.status = 504;
    EXPECT_EQ(checked().status, part_status::timed_out);
    EXPECT_TRUE(checked().not_run);
    result_.status = 410;
    EXPECT_EQ(checked().status, part_status::snapshot_gone);
    result_.outcome = http::call_outcome::connection_broken;
    EXPECT_FALSE(checked().not_run);
    result_.request_may_have_left = false;
    EXPECT_TRUE(checked().not_run);
}

// R7: an order whose response is lost must not be sent again.
TEST_F(answer_check_test, reports_an_order_without_a_usable_response_as_unknown)
{
    request_.order = true;
    EXPECT_EQ(checked().status, part_status::ok);
    result_.headers["Request-Id"] = "other";
    EXPECT_EQ(checked().status, part_status::outcome_unknown);
    result_.outcome = http::call_outcome::timed_out;
    EXPECT_EQ(checked().status, part_status::outcome_unknown);
    EXPECT_FALSE(checked().not_run);
    result_.outcome = http::call_outcome::could_not_connect;
    EXPECT_TRUE(checked().not_run);
    EXPECT_EQ(check_answer(request_, result_).end, call_end::refused);
}

TEST(status_report_test, reads_snapshots_and_rejects_damaged_reports)
{
    const auto report = parse_status(R"({"boot_id":"b","draining":true,"in_use":0,
        "snapshots":[{"version":4,"shard":1,"shards":2}]})");
    ASSERT_TRUE(report);
    EXPECT_TRUE(report->draining);
    EXPECT_EQ(report->snapshots.at(0).shards, 2U);
    for (
        const char* bad :
        {"", "[]", "{}", R"({"boot_id":1,"draining":true})",
         R"({"boot_id":"b","draining":false,"snapshots":[{"version":4,"shard":2,"shards":2}]})",
         R"({"boot_id":"b","draining":false,"snapshots":{"a":1}})",
         // 2^32 + 2 shards: cut to 2, the map would be too small and the coverage too
         // high.
         R"({"boot_id":"b","draining":false,"snapshots":[{"version":4,"shard":1,"shards":4294967298}]})"}) {
        EXPECT_FALSE(parse_status(bad)) << bad;
    }
}

// Guards against a target whose status report ends this process: reading the snapshots
// copies them, which takes a stack frame for each level of their nesting.
TEST(status_report_test, refuses_a_report_that_is_nested_too_deeply)
{
    constexpr std::size_t depth = 1'000'000;
    EXPECT_FALSE(parse_status(R"({"boot_id":"b","draining":true,"snapshots":[)" +
                              std::string(depth, '[') + std::string(depth, ']') + "]}"));
}

} // namespace
} // namespace curranthoist::entry
