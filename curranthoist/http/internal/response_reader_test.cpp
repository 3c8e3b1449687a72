#include "curranthoist/http/internal/response_reader.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace curranthoist::http::internal {
namespace {

const std::string other =
    "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 4\r\n\r\nlate";
const std::string wanted =
    "HTTP/1.1 201 Created\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\n{}";

target_call skipping_call()
{
    target_call call;
    call.headers = {{"Request-Id", "a"}};
    call.skips_other_responses = true;
    return call;
}

// Guards against a dropped response that leaves something behind in the own one, wherever
// the bytes are cut on their way.
TEST(response_reader_test, the_own_response_is_whole_behind_a_dropped_one)
{
    const target_call call = skipping_call();
    const std::string all = other + wanted;
    for (std::size_t cut = 1; cut < all.size(); ++cut) {
        target_result result;
        response_reader reader(call, result);
        ASSERT_EQ(reader.read(std::string_view(all).substr(0, cut)), std::nullopt) << cut;
        ASSERT_EQ(reader.read(std::string_view(all).substr(cut)), call_outcome::ok)
            << cut;
        ASSERT_EQ(result.status, 201U) << cut;
        ASSERT_EQ(result.body, "{}") << cut;
        ASSERT_EQ(result.header("Request-Id"), "a") << cut;
        // A target that sent one response too many may send another.
        ASSERT_FALSE(reader.may_keep_connection()) << cut;
    }
}

// Guards against a head without end whose short lines take many times their bytes.
TEST(response_reader_test, many_short_headers_are_refused)
{
    constexpr std::size_t max_headers_sent = 600;
    target_call call;
    call.accept_unframed = true;
    target_result result;
    response_reader reader(call, result);
    ASSERT_EQ(reader.read("HTTP/1.1 200 OK\r\n"), std::nullopt);
    std::size_t sent = 0;
    while (sent <= max_headers_sent &&
           !reader.read("h" + std::to_string(sent) + ":\r\n")) {
        ++sent;
    }
    EXPECT_LT(sent, max_headers_sent);
    EXPECT_GT(sent, max_headers_sent / 2);
}

// Guards against a response that breaks off in its head and counts as whole, with an
// empty or short body.
TEST(response_reader_test, a_response_that_ends_in_its_head_is_truncated)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\n"
                              "Content-Length: 12\r\nX: y\r\n\r\n";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    for (const std::string& head : {whole, interim + whole, other + whole}) {
        for (const bool in_order : {true, false}) {
            for (std::size_t cut = 1; cut < head.size(); ++cut) {
                target_call call = skipping_call();
                call.accept_unframed = true;
                target_result result;
                response_reader reader(call, result);
                ASSERT_EQ(reader.read(std::string_view(head).substr(0, cut)),
                          std::nullopt)
                    << cut;
                ASSERT_NE(reader.finish(in_order), call_outcome::ok) << cut;
            }
        }
    }
}

// Guards against a dropped response without an end of its own, behind which any bytes
// would be taken for the own one.
TEST(response_reader_test, a_response_without_length_is_not_dropped)
{
    const target_call call = skipping_call();
    target_result result;
    response_reader reader(call, result);
    EXPECT_EQ(reader.read("HTTP/1.1 200 OK\r\nRequest-Id: b\r\n\r\nlate" + wanted),
              call_outcome::mismatched);
}

// Guards against a late copy of an earlier response that names no request, on a
// connection whose responses name theirs. A refusal may come from before the request was
// read, so it need not name it.
TEST(response_reader_test, a_success_without_a_name_is_refused_where_names_are_usual)
{
    const target_call call = skipping_call();
    const auto outcome_of = [&call](bool required, const std::string& response) {
        target_result result;
        response_reader reader(call, result);
        if (required) {
            reader.require_id();
        }
        return reader.read(response);
    };
    const std::string success = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    const std::string refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    EXPECT_EQ(outcome_of(true, success), call_outcome::mismatched);
    EXPECT_EQ(outcome_of(false, success), call_outcome::ok);
    EXPECT_EQ(outcome_of(true, refusal), call_outcome::ok);
    EXPECT_EQ(outcome_of(true, wanted), call_outcome::ok);
}

// Guards against memory that a dropped response takes without limit.
TEST(response_reader_test, dropped_bytes_count_towards_the_limit)
{
    target_call call = skipping_call();
    call.max_body_bytes = 5;
    target_result result;
    response_reader reader(call, result);
    EXPECT_EQ(reader.read(other), std::nullopt);
    EXPECT_EQ(reader.read(other), call_outcome::too_large);
}

} // namespace
} // namespace curranthoist::http::internal
