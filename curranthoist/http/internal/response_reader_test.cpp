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

// Guards against a status that is none, such as 000, and is passed on to a caller or
// taken for an interim one, behind which the caller waits until its deadline.
TEST(response_reader_test, a_start_line_outside_the_protocol_is_refused_at_once)
{
    const target_call call;
    for (const std::string line :
         {"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 0 None", "HTTP/1.1 00",
          "HTTP/1.1 20 OK", "HTTP/1.1 099 None", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
          "HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1  200 OK", "HTTP/1.1 200OK",
          "HTTP/1.1 2x0 OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200 O\x01K",
          "http/1.1 200 OK"}) {
        target_result result;
        response_reader reader(call, result);
        // Nothing behind the line is awaited.
        EXPECT_EQ(reader.read(line + "\r\n"), call_outcome::malformed) << line;
        target_result whole;
        response_reader another(call, whole);
        std::string all = line;
        all.append("\r\nContent-Length: 4\r\n\r\nbody").append(wanted);
        EXPECT_EQ(another.read(all), call_outcome::malformed) << line;
    }
}

// Guards against statuses of the protocol that are refused with those outside it.
TEST(response_reader_test, every_status_of_the_protocol_is_passed_on)
{
    const target_call call;
    for (unsigned status = 200; status < 600; ++status) {
        for (const char* const rest : {"", " ", " Reason of many words"}) {
            target_result result;
            response_reader reader(call, result);
            std::string head = "HTTP/1.1 " + std::to_string(status);
            head.append(rest).append("\r\nContent-Length: 0\r\n\r\n");
            EXPECT_EQ(reader.read(head), call_outcome::ok) << status;
            EXPECT_EQ(result.status, status);
        }
    }
}

// Guards against bytes behind an interim head that end up in the body of the response.
TEST(response_reader_test, an_interim_response_adds_nothing_to_the_body)
{
    const target_call call;
    const std::string all =
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n" + wanted;
    for (std::size_t cut = 1; cut < all.size(); ++cut) {
        target_result result;
        response_reader reader(call, result);
        ASSERT_EQ(reader.read(std::string_view(all).substr(0, cut)), std::nullopt) << cut;
        ASSERT_EQ(reader.read(std::string_view(all).substr(cut)), call_outcome::ok)
            << cut;
        ASSERT_EQ(result.status, 201U) << cut;
        ASSERT_EQ(result.body, "{}") << cut;
    }
    target_result result;
    response_reader reader(call, result);
    EXPECT_EQ(reader.read("HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nbody"),
              call_outcome::malformed);
}

// Guards against a switch of protocols that nobody asked for.
TEST(response_reader_test, a_switch_of_protocols_is_refused)
{
    const target_call call;
    target_result result;
    response_reader reader(call, result);
    EXPECT_EQ(reader.read("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                          "Connection: upgrade\r\n\r\n"),
              call_outcome::malformed);
}

// Guards against header lines that http_parser joins, cuts or passes on in another form
// than the target meant.
TEST(response_reader_test, header_lines_outside_the_protocol_are_refused)
{
    const target_call call;
    for (const std::string line :
         {"Server-Stamp: a\r\n b", "Server-Stamp : a", "Server Stamp: a",
          "Server-Stamp: a\x01", "Server-Stamp: a\rb", " Server-Stamp: a", "Server-Stamp",
          "Server\x80-Stamp: a", ": a"}) {
        target_result result;
        response_reader reader(call, result);
        EXPECT_EQ(
            reader.read("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"),
            call_outcome::malformed)
            << line;
    }
    target_result result;
    response_reader reader(call, result);
    EXPECT_EQ(reader.read("HTTP/1.1 200 OK\r\nX:\r\nServer-Stamp:\ta \xc3\xa4\r\n"
                          "Content-Length: 0\r\n\r\n"),
              call_outcome::ok);
}

// Guards against a body in a transfer coding that is passed on as it is, without the
// header that tells so.
TEST(response_reader_test, only_the_chunked_transfer_coding_is_taken)
{
    target_call call;
    call.accept_unframed = true;
    const auto outcome_of = [&call](const std::string& lines) {
        target_result result;
        response_reader reader(call, result);
        const auto outcome =
            reader.read("HTTP/1.1 200 OK\r\n" + lines + "\r\n2\r\nab\r\n0\r\n\r\n");
        return outcome ? *outcome : reader.finish(true);
    };
    EXPECT_EQ(outcome_of("Transfer-Encoding: chunked\r\n"), call_outcome::ok);
    EXPECT_EQ(outcome_of("transfer-encoding: Chunked \r\n"), call_outcome::ok);
    for (const std::string lines :
         {"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"}) {
        EXPECT_EQ(outcome_of(lines), call_outcome::malformed) << lines;
    }
}

// Guards against a trailer that changes what the head said, or adds to it.
TEST(response_reader_test, trailers_are_dropped)
{
    const target_call call;
    target_result result;
    response_reader reader(call, result);
    EXPECT_EQ(reader.read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "2\r\nab\r\n0\r\nNot-Executed: 1\r\nServer-Stamp: b\r\n\r\n"),
              call_outcome::ok);
    EXPECT_EQ(result.body, "ab");
    EXPECT_EQ(result.headers.size(), 1U);
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
