#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace curranthoist::http {
namespace {

using internal::raw_peer;
using internal::run_until;

constexpr const char* get_request = "GET /a?x=1%202&y HTTP/1.1\r\nHost: h\r\n"
                                    "REQUEST-ID: r1\r\n\r\n";

class caller_server_test : public testing::Test
{
protected:
    caller_server_test() { options_.listen = {"127.0.0.1", 0}; }

    void start()
    {
        server_.emplace(loop_, options_,
                        [this](caller_request request, responder answer) {
                            requests_.push_back(std::move(request));
                            answers_.push_back(std::move(answer));
                            if (answer_at_once_) {
                                answers_.back().respond({.body = "{}"});
                            }
                        });
    }
    bool reads(raw_peer& peer, const std::string& text)
    {
        return run_until(loop_,
                         [&] { return peer.read().find(text) != std::string::npos; });
    }
    bool receives(std::size_t count)
    {
        return run_until(loop_, [&] { return requests_.size() >= count; });
    }
    bool still_serves()
    {
        raw_peer peer(server_->local());
        answer_at_once_ = true;
        peer.send(get_request);
        return reads(peer, "200 OK");
    }

    // Asks once, from another thread. Returns false once no connection can be made; a
    // connection that is made and ends without a response counts as broken.
    static bool ask_on_new_connection(const base::endpoint& remote,
                                      std::atomic<unsigned>& broken)
    {
        raw_peer peer(remote);
        if (!peer.connected()) {
            return false;
        }
        peer.send(get_request);
        if (!peer.wait_for_input() || peer.read().find("200 OK") == std::string::npos) {
            ++broken;
        }
        return true;
    }

    ev::dynamic_loop loop_;
    caller_server_options options_;
    bool answer_at_once_ = false;
    std::vector<caller_request> requests_;
    std::vector<responder> answers_;
    std::optional<caller_server> server_;
};

TEST_F(caller_server_test, hands_over_a_whole_request_and_answers_with_a_length)
{
    start();
    raw_peer peer(server_->local());
    peer.send(get_request);
    ASSERT_TRUE(receives(1));
    EXPECT_EQ(requests_[0].method, "GET");
    EXPECT_EQ(requests_[0].path, "/a");
    EXPECT_EQ(requests_[0].argument("x"), "1 2");
    EXPECT_EQ(requests_[0].argument("y"), "");
    EXPECT_EQ(requests_[0].header("request-id"), "r1");
    EXPECT_EQ(server_->open_requests(), 1U);
    EXPECT_TRUE(answers_[0].respond({.status = 404, .body = "later"}));
    EXPECT_FALSE(answers_[0].respond({.body = "twice"}));
    ASSERT_TRUE(reads(peer, "later"));
    EXPECT_NE(peer.read().find("Content-Length: 5"), std::string::npos);
    EXPECT_TRUE(run_until(loop_, [&] { return server_->open_requests() == 0; }));
}

// Guards against a caller's handshake that is counted again for later requests.
TEST_F(caller_server_test, only_the_first_request_of_a_connection_is_on_a_new_one)
{
    start();
    answer_at_once_ = true;
    raw_peer peer(server_->local());
    peer.send(get_request);
    ASSERT_TRUE(receives(1));
    ASSERT_TRUE(reads(peer, "200 OK"));
    peer.send(get_request);
    ASSERT_TRUE(receives(2));
    EXPECT_TRUE(requests_[0].connection_was_new);
    EXPECT_FALSE(requests_[1].connection_was_new);
}

TEST_F(caller_server_test, garbage_costs_one_connection_and_reaches_no_handler)
{
    // libmicrohttpd takes input without a request line for leading empty lines and waits.
    options_.idle_seconds = 1;
    start();
    for (const std::string& garbage :
         {std::string("\0\1\2 nonsense\r\n\r\n", 16), std::string("nonsense\r\n\r\n"),
          std::string(3000, '\xff') + "\r\n\r\n"}) {
        raw_peer peer(server_->local());
        peer.send(garbage);
        EXPECT_TRUE(run_until(loop_, [&] { return peer.ended(); })) << garbage;
    }
    EXPECT_TRUE(requests_.empty());
    EXPECT_TRUE(still_serves());
}

TEST_F(caller_server_test, a_bad_chunk_costs_one_connection_and_reaches_no_handler)
{
    start();
    raw_peer peer(server_->local());
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    EXPECT_TRUE(run_until(loop_, [&] { return peer.ended(); }));
    EXPECT_TRUE(requests_.empty());
    EXPECT_TRUE(still_serves());
}

TEST_F(caller_server_test, oversize_bodies_are_refused_as_not_run)
{
    options_.max_body_bytes = 10;
    start();
    raw_peer announced(server_->local());
    announced.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890");
    EXPECT_TRUE(reads(announced, "not run"));
    EXPECT_NE(announced.read().find(" 413 "), std::string::npos);
    raw_peer chunked(server_->local());
    chunked.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "b\r\n01234567890\r\n0\r\n\r\n");
    EXPECT_TRUE(reads(chunked, "not run"));
    raw_peer huge(server_->local());
    huge.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n");
    EXPECT_TRUE(reads(huge, "not run"));
    EXPECT_TRUE(requests_.empty());
    EXPECT_TRUE(still_serves());
}

TEST_F(caller_server_test, oversize_headers_are_refused_before_the_handler)
{
    options_.max_header_bytes = 500;
    start();
    raw_peer peer(server_->local());
    peer.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n");
    EXPECT_TRUE(reads(peer, " 431 "));
    raw_peer endless(server_->local());
    endless.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(100'000, 'x'));
    EXPECT_TRUE(run_until(loop_, [&] { return endless.ended(); }));
    EXPECT_TRUE(requests_.empty());
    EXPECT_TRUE(still_serves());
}

TEST_F(caller_server_test, a_close_is_seen_while_the_answer_is_outstanding)
{
    start();
    bool closed = false;
    raw_peer peer(server_->local());
    peer.send(get_request);
    ASSERT_TRUE(receives(1));
    answers_[0].on_close([&] { closed = true; });
    EXPECT_TRUE(answers_[0].is_open());
    peer.close();
    EXPECT_TRUE(run_until(loop_, [&] { return closed; }));
    EXPECT_FALSE(answers_[0].is_open());
    EXPECT_FALSE(answers_[0].respond({.body = "nobody"}));
    EXPECT_TRUE(run_until(loop_, [&] { return server_->open_requests() == 0; }));
    EXPECT_EQ(server_->live_connections(), 0U);
}

TEST_F(caller_server_test, a_dropped_responder_closes_the_connection)
{
    start();
    raw_peer peer(server_->local());
    peer.send(get_request);
    ASSERT_TRUE(receives(1));
    answers_.clear();
    EXPECT_TRUE(run_until(loop_, [&] { return peer.ended(); }));
}

TEST_F(caller_server_test, a_responder_outlives_the_server)
{
    start();
    raw_peer peer(server_->local());
    peer.send(get_request);
    ASSERT_TRUE(receives(1));
    server_.reset();
    EXPECT_FALSE(answers_[0].respond({.body = "{}"}));
}

TEST_F(caller_server_test, a_stop_refuses_connections_and_finishes_open_requests)
{
    start();
    raw_peer peer(server_->local());
    peer.send(get_request);
    ASSERT_TRUE(receives(1));
    server_->stop_accepting();
    ASSERT_TRUE(run_until(loop_, [this] { return !server_->is_listening(); }));
    EXPECT_FALSE(raw_peer(server_->local()).connected());
    EXPECT_EQ(server_->open_requests(), 1U);
    answers_[0].respond({.body = "done"});
    EXPECT_TRUE(reads(peer, "done"));
    EXPECT_TRUE(run_until(loop_, [&] { return peer.ended(); }));
    EXPECT_EQ(server_->open_requests(), 0U);
}

// Guards against a forwarded path or query that differs from the one that was sent.
TEST_F(caller_server_test, hands_over_path_and_query_as_they_were_sent)
{
    start();
    raw_peer peer(server_->local());
    peer.send("GET /a%20b/%2F?x=%41&y=a+b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(receives(1));
    EXPECT_EQ(requests_[0].target, "/a%20b/%2F?x=%41&y=a+b");
    raw_peer second(server_->local());
    second.send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(receives(2));
    EXPECT_EQ(requests_[1].target, "/second");
}

// Guards against a stop during which callers begin requests on kept connections, which
// then outlast the process, and against one that cuts a request under way.
TEST_F(caller_server_test, closing_idle_connections_spares_those_with_a_request)
{
    start();
    raw_peer busy(server_->local());
    busy.send(get_request);
    ASSERT_TRUE(receives(1));
    raw_peer idle(server_->local());
    idle.send(get_request);
    ASSERT_TRUE(receives(2));
    answers_[1].respond({.body = "{}"});
    ASSERT_TRUE(reads(idle, "200 OK"));
    server_->close_idle();
    EXPECT_TRUE(run_until(loop_, [&idle] { return idle.ended(); }));
    EXPECT_FALSE(busy.ended());
    answers_[0].respond({.body = "{}"});
    EXPECT_TRUE(reads(busy, "200 OK"));
}

// Guards against a stop that closes a connection between its handshake and its first
// request, which then meets a closed connection (soak, seed 1212).
TEST_F(caller_server_test, closing_idle_connections_spares_new_ones_for_a_moment)
{
    start();
    raw_peer fresh(server_->local());
    raw_peer silent(server_->local());
    ASSERT_TRUE(run_until(loop_, [this] { return server_->live_connections() == 2; }));
    server_->close_idle();
    run_until(
        loop_, [] { return false; }, 0.1);
    fresh.send(get_request);
    ASSERT_TRUE(receives(1));
    answers_[0].respond({.body = "served"});
    EXPECT_TRUE(reads(fresh, "served"));
    EXPECT_TRUE(run_until(loop_, [&] {
        server_->close_idle();
        return silent.ended();
    }));
}

// Guards against callers that keep a connection to a process which is about to end.
TEST_F(caller_server_test,
       an_announced_close_is_in_each_response_and_new_callers_are_taken)
{
    start();
    server_->announce_close();
    answer_at_once_ = true;
    raw_peer peer(server_->local());
    peer.send(get_request);
    EXPECT_TRUE(reads(peer, "Connection: close"));
    EXPECT_TRUE(still_serves());
}

TEST_F(caller_server_test, a_stop_resets_no_connection_that_waits_to_be_accepted)
{
    start();
    // The loop has not run since this connect, so the connection is in the kernel's
    // queue.
    raw_peer waiting(server_->local());
    server_->stop_accepting();
    waiting.send(get_request);
    ASSERT_TRUE(receives(1));
    EXPECT_TRUE(answers_[0].respond({.body = "served"}));
    EXPECT_TRUE(reads(waiting, "served"));
}

// Guards against a stop that resets a connection which the kernel completes while the
// listening socket is being closed: its caller has sent a request by then.
TEST_F(caller_server_test, a_stop_answers_every_caller_that_could_still_connect)
{
    constexpr unsigned stops = 30;
    constexpr unsigned callers = 4;
    answer_at_once_ = true;
    std::atomic<unsigned> broken{0};
    for (unsigned i = 0; i < stops; ++i) {
        start();
        std::atomic<unsigned> served{0};
        std::vector<std::thread> threads;
        for (unsigned caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, remote = server_->local()] {
                while (ask_on_new_connection(remote, broken)) {
                    ++served;
                }
            });
        }
        EXPECT_TRUE(run_until(loop_, [&] { return served > callers; }));
        server_->stop_accepting();
        run_until(
            loop_, [&] { return !server_->is_listening(); }, 2.0);
        EXPECT_TRUE(run_until(loop_, [&] { return server_->live_connections() == 0; }));
        for (std::thread& one : threads) {
            one.join();
        }
        answers_.clear();
    }
    EXPECT_EQ(broken, 0U);
}

TEST_F(caller_server_test, connections_over_the_limit_are_closed)
{
    options_.max_connections = 1;
    start();
    raw_peer first(server_->local());
    first.send(get_request);
    ASSERT_TRUE(receives(1));
    raw_peer second(server_->local());
    second.send(get_request);
    run_until(
        loop_, [&] { return second.ended(); }, 0.1);
    EXPECT_EQ(requests_.size(), 1U);
    EXPECT_TRUE(answers_[0].respond({.body = "first"}));
    EXPECT_TRUE(reads(first, "first"));
}

TEST_F(caller_server_test, listens_on_the_given_address_only)
{
    options_.listen = {"127.0.0.2", 0};
    start();
    EXPECT_TRUE(raw_peer(server_->local()).connected());
    EXPECT_FALSE(raw_peer({"127.0.0.1", server_->local().port}).connected());
}

TEST_F(caller_server_test, a_truncated_response_announces_its_whole_length)
{
    start();
    raw_peer peer(server_->local());
    peer.send(get_request);
    ASSERT_TRUE(receives(1));
    answers_[0].respond({.body = "0123456789", .break_after = 4});
    EXPECT_TRUE(run_until(loop_, [&] { return peer.ended(); }));
    EXPECT_NE(peer.read().find("Content-Length: 10"), std::string::npos);
    EXPECT_TRUE(peer.read().ends_with("0123"));
}

} // namespace
} // namespace curranthoist::http
