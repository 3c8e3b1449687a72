// A target in trouble may send bytes that are no answer, without end, until its caller
// closes the connection.
#include "curranthoist/http/internal/raw_peer.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/testing/endless_server.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::http {
namespace {

using internal::run_until;
using testing::endless_server;

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

class endless_response_test : public ::testing::Test
{
protected:
    void serve(std::string head, const std::string& filler)
    {
        server_.emplace(std::move(head), repeated(filler, 1000));
        client_.emplace(loop_, server_->local(), 8);
    }
    target_result call(target_call request)
    {
        std::optional<target_result> result;
        request.path = "/";
        client_->start(std::move(request),
                       [&result](target_result ended) { result = std::move(ended); });
        EXPECT_TRUE(run_until(
            loop_, [&] { return result.has_value(); }, 20.0));
        return result.value_or(target_result{});
    }
    void expect_closed()
    {
        EXPECT_TRUE(run_until(loop_, [this] { return server_->closed() == 1; }));
        EXPECT_EQ(client_->open_sockets(), 0U);
    }

    static constexpr base::duration patience{15'000};
    ev::dynamic_loop loop_;
    std::optional<endless_server> server_;
    std::optional<target_client> client_;
};

// Guards against memory and time that a response takes until its deadline, whatever its
// endless bytes are. None of them may be taken for an answer.
TEST_F(endless_response_test, a_response_without_end_is_cut_off)
{
    struct endless_bytes
    {
        const char* head;
        const char* filler;
    };
    const std::vector<endless_bytes> cases{
        // No line end in the status line, a header name, a header value.
        {"HTTP/1.1 200 ", "O"},
        {"HTTP/1.1 200 OK\r\n", "X"},
        {"HTTP/1.1 200 OK\r\nX: ", "y"},
        // Header lines, interim responses, bytes of another protocol.
        {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"", "\x16\x03\x01"},
        {"", "\r\n"},
        // A body without length, in chunks, with an endless chunk size, extension,
        // trailer.
        {"HTTP/1.1 200 OK\r\n\r\n", "b"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "b"},
        // Responses to other requests.
        {"", "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 1\r\n\r\nx"},
    };
    for (const endless_bytes& one : cases) {
        serve(one.head, one.filler);
        const target_result result = call({.headers = {{"Request-Id", "a"}},
                                           .time_limit = patience,
                                           .skips_other_responses = true,
                                           .accept_unframed = true,
                                           .max_body_bytes = std::size_t{256} * 1024});
        const std::string shown = std::string(one.head) + one.filler;
        EXPECT_NE(result.outcome, call_outcome::ok) << shown;
        EXPECT_NE(result.outcome, call_outcome::timed_out) << shown;
        EXPECT_TRUE(result.body.empty()) << shown;
        EXPECT_TRUE(result.request_may_have_left) << shown;
        expect_closed();
    }
}

// Guards against bytes behind a whole answer that are taken for the next one.
TEST_F(endless_response_test, bytes_behind_an_answer_end_the_connection_only)
{
    serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "b");
    const target_result result = call({.time_limit = patience});
    EXPECT_EQ(result.outcome, call_outcome::ok);
    EXPECT_EQ(result.body, "{}");
    expect_closed();
}

// Guards against an abandoned call whose endless response goes on using the processor.
TEST_F(endless_response_test, an_abandoned_call_ends_its_connection)
{
    serve("HTTP/1.1 200 OK\r\n\r\n", "b");
    const auto number = client_->start(
        {.path = "/", .time_limit = patience, .accept_unframed = true}, [](auto) {});
    run_until(
        loop_, [] { return false; }, 0.05);
    client_->abandon(number);
    expect_closed();
}

// Guards against many endless bodies that together use up the process's memory, and
// against sound responses that are refused for them.
TEST_F(endless_response_test, responses_together_keep_within_the_memory)
{
    constexpr std::size_t capacity = std::size_t{1024} * 1024;
    constexpr std::size_t calls = 8;
    serve("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n", "b");
    const auto memory = std::make_shared<memory_account>(capacity);
    client_->limit_memory(memory);
    std::size_t peak = 0;
    std::vector<target_result> results;
    for (std::size_t i = 0; i < calls; ++i) {
        client_->start({.path = "/", .time_limit = patience}, [&](target_result result) {
            results.push_back(std::move(result));
        });
    }
    ASSERT_TRUE(run_until(
        loop_,
        [&] {
            peak = std::max(peak, memory->used());
            return results.size() == calls;
        },
        20.0));
    EXPECT_LE(peak, capacity);
    EXPECT_GT(memory->refusals(), 0U);
    for (const target_result& result : results) {
        EXPECT_EQ(result.outcome, call_outcome::too_large);
    }
    // Nothing is held by what was cut off.
    EXPECT_EQ(memory->used(), 0U);
}

// Guards against a target that keeps the loop busy, so that other work waits.
TEST_F(endless_response_test, timers_run_while_a_target_sends_without_end)
{
    serve("HTTP/1.1 200 OK\r\n\r\n", "bbbbbbbb");
    bool ended = false;
    client_->start({.path = "/",
                    .time_limit = base::duration(300),
                    .accept_unframed = true,
                    .max_body_bytes = std::size_t{1} << 40U},
                   [&](const target_result& result) {
                       ended = true;
                       EXPECT_EQ(result.outcome, call_outcome::timed_out);
                   });
    EXPECT_TRUE(run_until(
        loop_, [&] { return ended; }, 2.0));
}

} // namespace
} // namespace curranthoist::http
