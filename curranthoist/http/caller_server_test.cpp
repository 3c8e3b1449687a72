#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
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

// Ways to fill the head of a request, which cost the server different amounts of memory.
enum class head_shape
{
    one_cookie,
    many_cookies,
    usual_headers,
    short_headers,
    query_arguments,
};

constexpr std::size_t usual_header_bytes = 60;
constexpr std::size_t short_header_bytes = 12;

// Returns a request whose line and header lines have `size` bytes.
std::string request_with_head(head_shape shape, std::size_t size)
{
    std::string target = "/a";
    std::string headers = "Host: h\r\n";
    const auto rest = [&] {
        const std::size_t used =
            std::string("GET  HTTP/1.1\r\n\r\n").size() + target.size() + headers.size();
        return size > used ? size - used : 0;
    };
    const auto fill = [&rest](std::string& text, std::string_view piece) {
        while (rest() > 0) {
            text += piece.substr(0, rest());
        }
    };
    switch (shape) {
    case head_shape::one_cookie:
    case head_shape::many_cookies: {
        std::string& text = headers;
        text += "Cookie: a=\r\n";
        std::string value;
        const std::size_t room = rest();
        while (value.size() < room) {
            value += shape == head_shape::one_cookie ? "c" : "c;d=";
        }
        text.insert(text.size() - 2, value.substr(0, room));
        break;
    }
    case head_shape::usual_headers:
    case head_shape::short_headers: {
        const std::size_t line =
            shape == head_shape::usual_headers ? usual_header_bytes : short_header_bytes;
        for (std::size_t number = 0; rest() >= line; ++number) {
            const std::string name = "h" + std::to_string(number);
            headers += name + ":" + std::string(line - name.size() - 3, 'v') + "\r\n";
        }
        break;
    }
    case head_shape::query_arguments:
        target += "?";
        fill(target, "a=1&");
        break;
    }
    return "GET " + target + " HTTP/1.1\r\n" + headers + "\r\n";
}

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

    // Sends a small request and then this one on the same connection, and returns what
    // came back for this one; nothing if the connection ended instead.
    std::string answer_on_kept_connection(const std::string& request)
    {
        raw_peer peer(server_->local());
        peer.send(get_request);
        EXPECT_TRUE(reads(peer, "{}"));
        const std::size_t first = peer.read().size();
        peer.send(request);
        run_until(loop_, [&] {
            return peer.read().find("\r\n", first) != std::string::npos || peer.ended();
        });
        return peer.read().substr(first);
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

// Guards against requests that are smuggled past a target which drops the space before a
// colon: it would take the rest of the bytes for a body, or a body for a request.
TEST_F(caller_server_test, a_header_name_that_is_no_token_is_refused)
{
    start();
    for (const char* const line : {"Content-Length : 44", "Transfer-Encoding\t: chunked",
                                   "X : 1", "X Y: 1", "X(1): 1"}) {
        raw_peer peer(server_->local());
        peer.send(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + line +
                  "\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\nX: 12345\r\n\r\n");
        EXPECT_TRUE(run_until(loop_, [&] { return peer.ended(); })) << line;
        EXPECT_EQ(peer.read().find("HTTP/1.1 400 "), 0U) << line << peer.read();
        EXPECT_EQ(requests_.size(), 0U) << line;
    }
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

// Guards against a request that runs and whose connection is closed without an answer,
// because its head has used up the memory that the answer's head needs.
TEST_F(caller_server_test, a_request_that_reaches_the_handler_is_answered)
{
    constexpr std::size_t first_size = 1000;
    constexpr std::size_t step = 769;
    constexpr std::size_t long_answer_head = 40'000;
    constexpr std::string_view refused = "HTTP/1.1 431 ";
    std::string answer_header;
    server_.emplace(loop_, options_,
                    [&](caller_request request, const responder& answer) {
                        const bool small = request.header("request-id").has_value();
                        requests_.push_back(std::move(request));
                        caller_response response{.body = "{}"};
                        response.headers.emplace("Parts", small ? "" : answer_header);
                        answer.respond(std::move(response));
                    });
    for (const std::size_t answer_bytes : {std::size_t{100}, long_answer_head}) {
        answer_header.assign(answer_bytes, 'p');
        for (const head_shape shape :
             {head_shape::one_cookie, head_shape::many_cookies, head_shape::usual_headers,
              head_shape::short_headers, head_shape::query_arguments}) {
            for (std::size_t size = first_size; size <= options_.max_header_bytes;
                 size += step) {
                requests_.clear();
                const std::string answer =
                    answer_on_kept_connection(request_with_head(shape, size));
                const bool delivered = requests_.size() > 1;
                const std::string where =
                    "shape " + std::to_string(static_cast<int>(shape)) + ", head of " +
                    std::to_string(size) + " bytes, answer's of " +
                    std::to_string(answer_bytes);
                EXPECT_TRUE(answer.starts_with("HTTP/1.1 "))
                    << where << ": " << answer.substr(0, 40);
                EXPECT_EQ(answer.starts_with(refused), !delivered) << where;
            }
        }
    }
}

// Guards against a connection that costs time until it is idle for long enough, because
// the library can't hold the arguments of its request.
TEST_F(caller_server_test, too_many_query_arguments_cost_one_connection)
{
    start();
    int open = 0;
    server_->set_connection_handler(
        [&open](std::uint64_t, bool opened) { open += opened ? 1 : -1; });
    raw_peer peer(server_->local());
    peer.send(request_with_head(head_shape::query_arguments, 16'000));
    EXPECT_TRUE(reads(peer, " 431 "));
    EXPECT_TRUE(run_until(loop_, [&] { return open == 0; }));
    EXPECT_TRUE(requests_.empty());
    EXPECT_TRUE(still_serves());
}

// Guards against a 431 to a request that keeps the limit.
TEST_F(caller_server_test, heads_up_to_the_limit_are_answered)
{
    constexpr std::size_t step = 769;
    // The names of the parts of a query over 270 shards.
    const std::string answer_header(8000, 'p');
    server_.emplace(loop_, options_, [&](const caller_request&, const responder& answer) {
        caller_response response{.body = "{}"};
        response.headers.emplace("Parts", answer_header);
        answer.respond(std::move(response));
    });
    for (const head_shape shape : {head_shape::one_cookie, head_shape::usual_headers}) {
        for (std::size_t size = options_.max_header_bytes; size > step; size -= step) {
            EXPECT_NE(
                answer_on_kept_connection(request_with_head(shape, size)).find(" 200 "),
                std::string::npos)
                << "shape " << static_cast<int>(shape) << ", head of " << size
                << " bytes";
        }
    }
}

// Guards against a limit of the operators that the server does not follow.
TEST_F(caller_server_test, limits_can_be_changed_while_it_runs)
{
    constexpr std::size_t raised = 32'000;
    answer_at_once_ = true;
    start();
    const std::string request = request_with_head(head_shape::one_cookie, 20'000);
    EXPECT_NE(answer_on_kept_connection(request).find(" 431 "), std::string::npos);
    server_->set_request_limits(raised, options_.max_body_bytes);
    EXPECT_NE(answer_on_kept_connection(request).find(" 200 "), std::string::npos);
    server_->set_request_limits(1000, 10);
    EXPECT_NE(answer_on_kept_connection(request).find(" 431 "), std::string::npos);
    EXPECT_NE(answer_on_kept_connection("POST /a HTTP/1.1\r\nHost: h\r\n"
                                        "Content-Length: 11\r\n\r\n12345678901")
                  .find(" 413 "),
              std::string::npos);
}

// Guards against connections that keep the memory of former limits, where longer heads
// are refused, and against a change of limits that breaks off a request.
TEST_F(caller_server_test, raised_limits_hold_on_new_connections_and_finish_old_ones)
{
    constexpr std::size_t raised = std::size_t{64} * 1024;
    start();
    raw_peer idle(server_->local());
    idle.send(get_request);
    ASSERT_TRUE(receives(1));
    answers_[0].respond({.body = "{}"});
    ASSERT_TRUE(reads(idle, "{}"));
    raw_peer busy(server_->local());
    busy.send(get_request);
    ASSERT_TRUE(receives(2));
    server_->set_request_limits(raised, options_.max_body_bytes);
    answer_at_once_ = true;
    for (const head_shape shape : {head_shape::one_cookie, head_shape::usual_headers}) {
        for (const std::size_t size : {30'000, 45'000, 60'000}) {
            const std::string request = request_with_head(shape, size);
            EXPECT_NE(answer_on_kept_connection(request).find(" 200 "), std::string::npos)
                << size;
        }
    }
    EXPECT_TRUE(run_until(loop_, [&] { return idle.ended(); }));
    EXPECT_FALSE(busy.ended());
    answers_[1].respond({.body = "late"});
    EXPECT_TRUE(reads(busy, "late"));
    EXPECT_NE(busy.read().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(run_until(loop_, [&] { return busy.ended(); }));
}

// Guards against a stop during a change of limits that leaves a listening socket open or
// loses the requests of former connections.
TEST_F(caller_server_test, a_stop_after_changed_limits_finishes_open_requests)
{
    start();
    raw_peer busy(server_->local());
    busy.send(get_request);
    ASSERT_TRUE(receives(1));
    for (const std::size_t limit : {64'000, 16'000, 128'000}) {
        server_->set_request_limits(limit, options_.max_body_bytes);
    }
    server_->stop_accepting();
    EXPECT_TRUE(run_until(loop_, [&] { return !server_->is_listening(); }));
    EXPECT_FALSE(raw_peer(server_->local()).connected());
    answers_[0].respond({.body = "late"});
    EXPECT_TRUE(reads(busy, "late"));
    EXPECT_TRUE(run_until(loop_, [&] { return server_->live_connections() == 0; }));
}

// Guards against longer heads that take more memory for connections than before.
TEST_F(caller_server_test, longer_heads_leave_fewer_connections)
{
    constexpr std::size_t callers = 20;
    constexpr std::size_t raised = std::size_t{64} * 1024;
    options_.max_connection_memory =
        callers * caller_server::connection_bytes(options_.max_header_bytes);
    options_.max_connections = callers;
    start();
    EXPECT_EQ(server_->max_connections(), callers);
    std::vector<std::unique_ptr<raw_peer>> peers;
    const auto open = [&] {
        for (std::size_t i = 0; i < callers; ++i) {
            peers.push_back(std::make_unique<raw_peer>(server_->local()));
        }
    };
    open();
    ASSERT_TRUE(run_until(loop_, [&] { return server_->live_connections() == callers; }));
    server_->set_request_limits(raised, options_.max_body_bytes);
    const std::size_t fewer =
        options_.max_connection_memory / caller_server::connection_bytes(raised);
    EXPECT_EQ(server_->max_connections(), fewer);
    open();
    const auto live = [&] { return server_->live_connections(); };
    EXPECT_TRUE(run_until(
        loop_, [&] { return peers.back()->connected() && peers.front()->ended(); }));
    EXPECT_TRUE(run_until(loop_, [&] { return live() <= fewer; }));
    EXPECT_TRUE(still_serves());
    server_->set_request_limits(options_.max_header_bytes, options_.max_body_bytes);
    EXPECT_EQ(server_->max_connections(), callers);
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
    // No test listens on or connects from this address. At 127.0.0.1 a server of another
    // test may have the same port.
    EXPECT_FALSE(raw_peer({"127.0.0.3", server_->local().port}).connected());
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
