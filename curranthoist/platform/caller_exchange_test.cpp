#include "curranthoist/platform/caller_exchange.hpp"

#include <gtest/gtest.h>

#include <array>

namespace curranthoist::platform {
namespace {

using forwarding::response_kind;

http::target_result whole(unsigned status, http::header_map headers)
{
    http::target_result result;
    result.status = status;
    result.headers = std::move(headers);
    result.request_may_have_left = true;
    result.connection = 1;
    return result;
}

response_kind kind_of(http::target_result result)
{
    return decode_target_result(std::move(result)).kind;
}

// Guards against a request that reaches the target changed, or with headers of the
// caller's connection.
TEST(caller_exchange_test, a_request_goes_on_unchanged_but_for_the_connections_headers)
{
    http::caller_request from;
    from.method = "POST";
    from.path = "/a b/c";
    from.target = "/a%20b/c?x=%2f";
    from.headers = {{"Host", "h"},
                    {"attempt-id", "9c41"},
                    {"X-Other", "kept"},
                    {"Connection", "keep-alive, X-Hop"},
                    {"X-Hop", "gone"},
                    {"Transfer-Encoding", "chunked"},
                    {"Deadline-Milliseconds", "800"}};
    from.body = "body";
    const inbound_request request = decode_caller_request(std::move(from));
    EXPECT_EQ(request.attempt, base::request_id("9c41"));
    EXPECT_EQ(request.patience, base::duration(800));
    const http::target_call call =
        encode_target_call(request, base::target_id("i-1"), base::duration(700));
    EXPECT_EQ(call.method, "POST");
    EXPECT_EQ(call.path, "/a%20b/c?x=%2f");
    EXPECT_EQ(call.content(), "body");
    ASSERT_TRUE(call.common_headers);
    EXPECT_EQ(*call.common_headers, "Host: h\r\nX-Other: kept\r\n");
    EXPECT_EQ(call.headers,
              (http::header_map{{"Attempt-Id", "9c41"}, {"Expected-Instance", "i-1"}}));
    EXPECT_EQ(call.deadline_header, "Deadline-Milliseconds");
    EXPECT_EQ(call.target_time, base::duration(700));
    EXPECT_EQ(call.id_header, "Attempt-Id");
    EXPECT_TRUE(call.skips_other_responses);
}

// Guards against a response that counts although it is not the target's own and whole.
TEST(caller_exchange_test, only_a_whole_signed_response_counts)
{
    const http::header_map is_signed{{"Server-Stamp", "x"}};
    EXPECT_EQ(kind_of(whole(200, is_signed)), response_kind::success);
    EXPECT_EQ(kind_of(whole(500, is_signed)), response_kind::failure);
    EXPECT_EQ(kind_of(whole(200, {})), response_kind::unknown);
    EXPECT_EQ(kind_of(whole(200, {{"Server-Stamp", "x"}, {"Content-Encoding", "gzip"}})),
              response_kind::unknown);
    http::target_result cut = whole(200, is_signed);
    cut.outcome = http::call_outcome::truncated;
    EXPECT_EQ(kind_of(std::move(cut)), response_kind::unknown);
    http::target_result crossed = whole(200, is_signed);
    crossed.outcome = http::call_outcome::mismatched;
    EXPECT_EQ(kind_of(std::move(crossed)), response_kind::unknown);
}

// Guards against 'not run' for a request that may have run: only the target's own word or
// a request that never left says so.
TEST(caller_exchange_test, not_run_is_believed_only_when_it_is_certain)
{
    EXPECT_EQ(kind_of(whole(503, {{"Not-Executed", "1"}})), response_kind::not_run);
    EXPECT_EQ(kind_of(whole(421, {{"Instance-Id", "i-2"}})), response_kind::wrong_target);
    EXPECT_EQ(kind_of(whole(503, {{"Server-Stamp", "x"}})), response_kind::failure);
    http::target_result broken = whole(0, {});
    broken.outcome = http::call_outcome::connection_broken;
    EXPECT_EQ(kind_of(broken), response_kind::unknown);
    broken.request_may_have_left = false;
    EXPECT_EQ(kind_of(broken), response_kind::unreachable);
    http::target_result waited;
    waited.outcome = http::call_outcome::timed_out;
    EXPECT_EQ(kind_of(waited), response_kind::not_run);
}

// Guards against a target's failure whose status would promise that it has not run.
TEST(caller_exchange_test, a_failure_with_a_promising_status_is_not_passed_on)
{
    EXPECT_TRUE(may_forward_failure(500));
    EXPECT_TRUE(may_forward_failure(404));
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        EXPECT_FALSE(may_forward_failure(status));
    }
}

// Guards against a response that loses the target's signature or gains its connection's
// headers.
TEST(caller_exchange_test, a_response_is_passed_on_unchanged)
{
    http::target_result from = whole(
        201,
        {{"Server-Stamp", "x"}, {"Keep-Alive", "timeout=5"}, {"Attempt-Id", "9c41"}});
    from.body = std::string("a\0b", 3);
    const http::caller_response answer =
        forward_response(decode_target_result(std::move(from)));
    EXPECT_EQ(answer.status, 201U);
    EXPECT_EQ(answer.body, std::string("a\0b", 3));
    EXPECT_EQ(answer.headers,
              (http::header_map{{"Server-Stamp", "x"}, {"Attempt-Id", "9c41"}}));
}

// Guards against a gathered response that names its parts wrongly.
TEST(caller_exchange_test, a_gathered_response_names_its_parts_and_what_is_missing)
{
    const std::array<std::string_view, 2> signatures{"a.1", "b.2"};
    const http::caller_response answer = gathered_response(signatures, 3, "body");
    EXPECT_EQ(answer.headers.at("Part-Stamps"), "a.1, b.2");
    EXPECT_EQ(answer.headers.at("Missing-Parts"), "3");
    EXPECT_EQ(answer.body, "body");
}

// Guards against a time to come back in another unit than seconds.
TEST(caller_exchange_test, the_time_to_come_back_is_in_seconds)
{
    EXPECT_EQ(own_response(503, "x", base::duration(50)).headers.at("Retry-After"),
              "0.050");
    EXPECT_FALSE(own_response(502, "x", std::nullopt).headers.contains("Retry-After"));
}

// Guards against a leaving target that goes on getting requests, whatever it answered.
TEST(caller_exchange_test, a_leaving_target_is_noticed_in_every_answer)
{
    for (const unsigned status : {200U, 404U, 500U, 503U}) {
        EXPECT_TRUE(decode_target_result(whole(status, {{"Server-Leaving", "1"}}))
                        .notice.leaving);
    }
    EXPECT_FALSE(decode_target_result(whole(200, {})).notice.leaving);
    const health_answer health = decode_health_answer(
        whole(200, {{"Instance-Id", "i-1"}, {"Server-Leaving", "1"}}));
    EXPECT_FALSE(health.healthy);
    EXPECT_TRUE(health.notice.leaving);
    http::target_result broken = whole(200, {{"Server-Leaving", "1"}});
    broken.outcome = http::call_outcome::truncated;
    EXPECT_FALSE(decode_target_result(std::move(broken)).notice.leaving);
}

// Guards against a pause that is read in another unit, cut short, or longer than the day.
TEST(caller_exchange_test, the_pause_that_a_target_wants_is_read)
{
    const auto pause = [](unsigned status, const std::string& value) {
        return decode_target_result(
                   whole(status, {{"Not-Executed", "1"}, {"Retry-After", value}}))
            .notice.pause.count();
    };
    EXPECT_EQ(pause(503, "2"), 2000);
    EXPECT_EQ(pause(503, "0.0015"), 2);
    EXPECT_EQ(pause(429, "1.5"), 1500);
    EXPECT_EQ(pause(503, "1e300"), 3'600'000);
    EXPECT_EQ(pause(503, "99999999999"), 3'600'000);
    for (const char* none :
         {"0", "-1", "nan", "", "soon", "2s", "1e999", "Sat, 05 Dec 2026 07:00:00 GMT"}) {
        EXPECT_EQ(pause(503, none), 0) << none;
    }
    EXPECT_EQ(pause(500, "2"), 0);
    EXPECT_EQ(pause(200, "2"), 0);
}

// Guards against another target's health that is taken for this one's.
TEST(caller_exchange_test, health_names_the_target_and_its_warm_up)
{
    const health_answer health = decode_health_answer(
        whole(200, {{"Instance-Id", "i-1"}, {"Cold-Milliseconds", "1200"}}));
    EXPECT_TRUE(health.healthy);
    EXPECT_EQ(health.instance, base::target_id("i-1"));
    EXPECT_EQ(health.remaining_cold_time, base::duration(1200));
    EXPECT_FALSE(decode_health_answer(whole(503, {})).healthy);
}

// Guards against a key that reaches a target, and against a caller that names a team
// itself.
TEST(caller_exchange_test, a_team_is_named_by_this_system_alone)
{
    http::caller_request from;
    from.headers = {{"Host", "h"}, {"Key", "secret"}, {"Tenant", "other"}};
    inbound_request request = decode_caller_request(from);
    EXPECT_EQ(request.key, "secret");
    EXPECT_EQ(*request.header_lines, "Host: h\r\n");
    set_team(request, "a");
    EXPECT_EQ(*request.header_lines, "Host: h\r\nTenant: a\r\n");
    // Without teams these are headers like any others.
    inbound_request untouched = decode_caller_request(from);
    keep_team_headers(untouched);
    EXPECT_EQ(*untouched.header_lines, "Host: h\r\nKey: secret\r\nTenant: other\r\n");
}

} // namespace
} // namespace curranthoist::platform
