#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/http/internal/listening_socket.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"
#include "curranthoist/http/target_client.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::http {
namespace {

using internal::run_until;

// A server that reads raw requests and writes what the test tells it to. It counts
// request lines, which shows whether libcurl sent one twice.
class raw_server
{
public:
    explicit raw_server(ev::loop_ref loop)
        : listener_(internal::open_listening_socket({"127.0.0.1", 0}))
        , watcher_(loop)
        , loop_(loop)
    {
        watcher_.set<raw_server, &raw_server::on_accept>(this);
        watcher_.start(listener_, ev::READ);
    }
    ~raw_server()
    {
        for (const auto& [descriptor, watcher] : peers_) {
            ::close(descriptor);
        }
        ::close(listener_);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] base::endpoint local() const
    {
        return internal::bound_endpoint(listener_);
    }
    static void write(int descriptor, std::string_view bytes)
    {
        ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    // True once the other end's kernel has everything that was written.
    static bool has_arrived(int descriptor)
    {
        int unsent = 0;
        return ::ioctl(descriptor, TIOCOUTQ, &unsent) == 0 && unsent == 0;
    }
    void close(int descriptor)
    {
        peers_.erase(descriptor);
        ::close(descriptor);
    }

    // Called with each chunk of input that has a request line.
    std::function<void(int descriptor)> on_request;
    int request_lines = 0;
    int connections = 0;
    std::string last_input;

private:
    void on_accept(ev::io& /*watcher*/, int /*events*/)
    {
        const int peer = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        ++connections;
        auto& watcher = peers_[peer];
        watcher = std::make_unique<ev::io>(loop_);
        watcher->set<raw_server, &raw_server::on_input>(this);
        watcher->start(peer, ev::READ);
    }
    void on_input(ev::io& watcher, int /*events*/)
    {
        char buffer[65536];
        const int descriptor = watcher.fd;
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count <= 0) {
            close(descriptor);
            return;
        }
        const std::string_view input(buffer, static_cast<std::size_t>(count));
        if (input.find("HTTP/1.1") != std::string_view::npos) {
            ++request_lines;
            last_input = input;
            on_request(descriptor);
        }
    }

    int listener_;
    ev::io watcher_;
    ev::loop_ref loop_;
    std::map<int, std::unique_ptr<ev::io>> peers_;
};

class target_client_test : public testing::Test
{
protected:
    target_client_test()
        : server_(loop_)
    {
        connect(4);
        respond_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    }
    void connect(std::size_t cap) { client_.emplace(loop_, server_.local(), cap); }
    void respond_with(const std::string& response)
    {
        server_.on_request = [response](int peer) { raw_server::write(peer, response); };
    }
    void respond_and_close(const std::string& response)
    {
        server_.on_request = [this, response](int peer) {
            raw_server::write(peer, response);
            server_.close(peer);
        };
    }
    target_client::call_number start(target_call call)
    {
        call.path = "/v1/part";
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
        start(std::move(request));
        EXPECT_TRUE(finish(before + 1));
        return results_.empty() ? target_result{} : results_.back();
    }

    ev::dynamic_loop loop_;
    raw_server server_;
    std::optional<target_client> client_;
    std::vector<target_result> results_;
};

TEST_F(target_client_test, keeps_connections_and_numbers_them)
{
    const target_result first = call({.body = "q"});
    EXPECT_EQ(first.outcome, call_outcome::ok);
    EXPECT_EQ(first.status, 200U);
    EXPECT_EQ(first.body, "{}");
    EXPECT_TRUE(first.connection_was_new);
    const target_result second = call({.body = "q"});
    EXPECT_EQ(second.connection, first.connection);
    EXPECT_FALSE(second.connection_was_new);
    EXPECT_EQ(server_.connections, 1);
}

// Guards against a handshake that a request waits for although there was time before.
TEST_F(target_client_test, a_connection_made_ahead_serves_the_next_call)
{
    client_->preconnect();
    client_->preconnect();
    ASSERT_TRUE(run_until(loop_, [this] { return server_.connections == 1; }));
    EXPECT_EQ(call({}).outcome, call_outcome::ok);
    EXPECT_EQ(server_.connections, 1);
    EXPECT_EQ(client_->open_sockets(), 1U);
}

// Guards against a client that holds on to a connection which nobody answers.
TEST_F(target_client_test, a_connection_ahead_that_is_not_made_is_given_up)
{
    target_client nowhere(loop_, {"127.0.0.1", 1}, 2);
    nowhere.preconnect();
    EXPECT_TRUE(run_until(loop_, [&] { return nowhere.open_sockets() == 0; }));
}

TEST_F(target_client_test, an_order_uses_a_connection_of_its_own)
{
    call({});
    const target_result order = call({.fresh_connection = true});
    EXPECT_TRUE(order.connection_was_new);
    EXPECT_EQ(order.connection, 2U);
    EXPECT_EQ(call({}).connection, 1U);
    EXPECT_EQ(client_->open_sockets(), 1U);
}

TEST_F(target_client_test, a_request_on_a_broken_kept_connection_is_not_sent_again)
{
    call({});
    server_.on_request = [this](int peer) { server_.close(peer); };
    const target_result broken = call({.body = "order"});
    EXPECT_EQ(broken.outcome, call_outcome::connection_broken);
    EXPECT_TRUE(broken.request_may_have_left);
    EXPECT_EQ(server_.request_lines, 2);
    const target_result fresh = call({.body = "order", .fresh_connection = true});
    EXPECT_EQ(fresh.outcome, call_outcome::connection_broken);
    EXPECT_TRUE(fresh.request_may_have_left);
    // Time enough for a resend to arrive, if there were one.
    run_until(
        loop_, [this] { return server_.request_lines > 3; }, 0.2);
    EXPECT_EQ(server_.request_lines, 3);
}

TEST_F(target_client_test, no_connection_means_that_nothing_left)
{
    const int listener = internal::open_listening_socket({"127.0.0.1", 0});
    const base::endpoint closed = internal::bound_endpoint(listener);
    ::close(listener);
    client_.emplace(loop_, closed, 2);
    const target_result result = call({});
    EXPECT_EQ(result.outcome, call_outcome::could_not_connect);
    EXPECT_FALSE(result.request_may_have_left);
    EXPECT_EQ(result.connection, 0U);
}

TEST_F(target_client_test, truncated_responses_are_not_taken_for_whole)
{
    const std::vector<std::string> truncated = {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\n\r\nneither length nor chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nResult-Length: 3\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Le",
    };
    for (const std::string& response : truncated) {
        respond_and_close(response);
        EXPECT_EQ(call({}).outcome, call_outcome::truncated) << response;
    }
    respond_and_close("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                      "Result-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
    EXPECT_EQ(call({}).outcome, call_outcome::ok);
}

TEST_F(target_client_test, a_response_to_another_request_is_not_counted)
{
    respond_with("HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 2\r\n\r\n{}");
    const target_result crossed = call({.headers = {{"Request-Id", "a"}}});
    EXPECT_EQ(crossed.outcome, call_outcome::mismatched);
    const target_result own = call({.headers = {{"Request-Id", "b"}}});
    EXPECT_EQ(own.outcome, call_outcome::ok);
    EXPECT_TRUE(own.connection_was_new);
}

TEST_F(target_client_test, a_late_second_response_is_not_taken_for_the_next_one)
{
    call({});
    int peer = -1;
    server_.on_request = [&](int from) {
        peer = from;
        raw_server::write(from, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    };
    call({});
    raw_server::write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    ASSERT_TRUE(run_until(loop_, [&] { return raw_server::has_arrived(peer); }));
    const target_result next = call({});
    EXPECT_EQ(next.outcome, call_outcome::ok);
    EXPECT_EQ(next.body, "{}");
    EXPECT_TRUE(next.connection_was_new);
    EXPECT_EQ(server_.request_lines, 3);
}

TEST_F(target_client_test, a_silent_connection_times_out_and_is_not_used_again)
{
    const target_result first = call({});
    server_.on_request = [](int /*peer*/) {};
    const target_result silent = call({.time_limit = base::duration(50)});
    EXPECT_EQ(silent.outcome, call_outcome::timed_out);
    EXPECT_EQ(silent.connection, first.connection);
    EXPECT_TRUE(silent.request_may_have_left);
    EXPECT_GE(silent.elapsed, base::duration(49));
    EXPECT_LT(silent.elapsed, base::duration(1000));
    EXPECT_EQ(client_->open_sockets(), 0U);
    respond_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_TRUE(call({}).connection_was_new);
}

TEST_F(target_client_test, a_cancelled_call_closes_its_connection)
{
    server_.on_request = [](int /*peer*/) {};
    const target_client::call_number number = start({});
    ASSERT_TRUE(run_until(loop_, [this] { return server_.request_lines == 1; }));
    client_->cancel(number);
    EXPECT_TRUE(results_.empty());
    EXPECT_EQ(client_->open_sockets(), 0U);
    ASSERT_TRUE(finish(1));
    EXPECT_EQ(results_[0].outcome, call_outcome::cancelled);
    EXPECT_TRUE(results_[0].request_may_have_left);
}

// Guards against a new connection for each call that a faster one beat, and against a
// late response that is taken for the next one.
TEST_F(target_client_test, the_connection_of_an_abandoned_call_serves_the_next)
{
    int waiting = -1;
    server_.on_request = [&](int peer) { waiting = peer; };
    const target_client::call_number number = start({});
    ASSERT_TRUE(run_until(loop_, [&] { return waiting >= 0; }));
    client_->abandon(number);
    ASSERT_TRUE(finish(1));
    EXPECT_EQ(results_[0].outcome, call_outcome::cancelled);
    EXPECT_TRUE(results_[0].request_may_have_left);
    EXPECT_EQ(client_->open_sockets(), 1U);
    raw_server::write(waiting, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    run_until(
        loop_, [] { return false; }, 0.05);
    respond_with("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    EXPECT_EQ(call({}).body, "own");
    EXPECT_EQ(server_.connections, 1);
}

// Guards against a connection that is kept for a response which never comes.
TEST_F(target_client_test, the_connection_of_an_abandoned_call_is_closed_in_the_end)
{
    server_.on_request = [](int /*peer*/) {};
    const target_client::call_number number = start({});
    ASSERT_TRUE(run_until(loop_, [this] { return server_.request_lines == 1; }));
    client_->abandon(number);
    EXPECT_EQ(client_->open_sockets(), 1U);
    EXPECT_TRUE(run_until(loop_, [this] { return client_->open_sockets() == 0; }));
    EXPECT_EQ(results_.size(), 1U);
}

// Guards against a call that waits while the last connection is kept for a response that
// nobody wants.
TEST_F(target_client_test, a_waiting_call_takes_the_place_of_an_abandoned_one)
{
    connect(1);
    server_.on_request = [](int /*peer*/) {};
    const target_client::call_number number = start({});
    ASSERT_TRUE(run_until(loop_, [this] { return server_.request_lines == 1; }));
    client_->abandon(number);
    ASSERT_TRUE(finish(1));
    respond_with("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    const target_result next = call({});
    EXPECT_EQ(next.body, "own");
    EXPECT_LT(next.elapsed, base::duration(200));
    EXPECT_EQ(client_->peak_sockets(), 1U);
}

// A listening socket whose queue of connections is full: further connects hang.
class full_listener
{
public:
    full_listener()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        std::ignore = ::bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                             sizeof address);
        ::listen(listener_, 0);
        socklen_t size = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        for (int& one : fillers_) {
            one = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            std::ignore = ::connect(one, reinterpret_cast<const sockaddr*>(&address),
                                    sizeof address);
        }
    }
    ~full_listener()
    {
        for (const int one : fillers_) {
            ::close(one);
        }
        ::close(listener_);
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    [[nodiscard]] base::endpoint local() const
    {
        return internal::bound_endpoint(listener_);
    }

private:
    int listener_;
    std::array<int, 4> fillers_{};
};

// Guards against a connection that was given up while it was being made and counts
// against the limit for good, which refused half of a target's calls later on.
TEST_F(target_client_test, a_call_cancelled_while_connecting_gives_its_socket_back)
{
    const full_listener full;
    target_client client(loop_, full.local(), 1);
    int ended = 0;
    const auto count = [&ended](const target_result&) { ++ended; };
    const target_client::call_number number = client.start({}, count);
    ASSERT_TRUE(run_until(loop_, [&client] { return client.open_sockets() == 1; }));
    client.cancel(number);
    EXPECT_EQ(client.open_sockets(), 0U);
    client.start({.time_limit = base::duration(50)}, count);
    ASSERT_TRUE(run_until(loop_, [&client] { return client.open_sockets() == 1; }));
    ASSERT_TRUE(run_until(loop_, [&ended] { return ended == 2; }));
    EXPECT_EQ(client.open_sockets(), 0U);
}

// Guards against a request that waits for a target without power until its deadline,
// though nothing was sent and another target could take it.
TEST_F(target_client_test, a_connection_that_is_not_made_is_given_up_early)
{
    const full_listener full;
    target_client client(loop_, full.local(), 1);
    std::optional<target_result> ended;
    client.start({.time_limit = base::duration(4000)},
                 [&ended](target_result result) { ended = std::move(result); });
    ASSERT_TRUE(run_until(loop_, [&ended] { return ended.has_value(); }));
    EXPECT_EQ(ended->outcome, call_outcome::could_not_connect);
    EXPECT_FALSE(ended->request_may_have_left);
    EXPECT_LT(ended->elapsed, base::duration(1000));
    EXPECT_EQ(client.open_sockets(), 0U);
}

TEST_F(target_client_test, the_cap_on_connections_holds_and_waiting_calls_time_out)
{
    connect(2);
    server_.on_request = [](int /*peer*/) {};
    // The two calls with a connection outlast those that wait, or these would get it.
    for (int i = 0; i < 2; ++i) {
        start({.time_limit = base::duration(1000)});
    }
    for (int i = 0; i < 4; ++i) {
        start({.time_limit = base::duration(100)});
    }
    ASSERT_TRUE(finish(4));
    for (const target_result& result : results_) {
        EXPECT_EQ(result.outcome, call_outcome::timed_out);
        EXPECT_FALSE(result.request_may_have_left);
    }
    ASSERT_TRUE(finish(6));
    EXPECT_EQ(client_->peak_sockets(), 2U);
    EXPECT_EQ(server_.request_lines, 2);
}

// Guards against a late copy without a name that is taken for the next response, and
// against a server that names some of its responses only and loses the others.
TEST_F(target_client_test,
       a_success_without_a_name_is_refused_only_where_names_are_expected)
{
    const auto answer = [this](const std::string& name_line) {
        respond_with("HTTP/1.1 200 OK\r\n" + name_line + "Content-Length: 2\r\n\r\n{}");
    };
    for (const bool expects : {true, false}) {
        answer("Request-Id: a\r\n");
        const target_call asked{.headers = {{"Request-Id", "a"}},
                                .expects_names = expects};
        const target_result first = call(asked);
        EXPECT_EQ(first.outcome, call_outcome::ok);
        answer("");
        const target_result second = call(asked);
        EXPECT_EQ(second.connection, first.connection);
        EXPECT_EQ(second.outcome, expects ? call_outcome::mismatched : call_outcome::ok);
    }
}

// Guards against a request that is sent although its caller no longer waits: a busy
// process can find a free connection and the end of the time limit in the same turn.
TEST_F(target_client_test, a_waiting_call_whose_limit_has_passed_is_not_sent)
{
    connect(1);
    int peer = -1;
    server_.on_request = [&peer](int descriptor) { peer = descriptor; };
    start({.time_limit = base::duration(2000)});
    ASSERT_TRUE(run_until(loop_, [&] { return peer >= 0; }));
    start({.time_limit = base::duration(50)});
    std::this_thread::sleep_for(std::chrono::milliseconds(80));
    raw_server::write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    ASSERT_TRUE(finish(2));
    EXPECT_EQ(results_[0].outcome, call_outcome::ok);
    EXPECT_EQ(results_[1].outcome, call_outcome::timed_out);
    EXPECT_FALSE(results_[1].request_may_have_left);
    EXPECT_EQ(server_.request_lines, 1);
}

// Guards against a target that is given more time than the caller has left, because the
// request waited for a connection.
TEST_F(target_client_test, the_time_left_is_that_at_the_send)
{
    connect(1);
    int peer = -1;
    server_.on_request = [&peer](int descriptor) { peer = descriptor; };
    start({});
    ASSERT_TRUE(run_until(loop_, [&] { return peer >= 0; }));
    start({.time_limit = base::duration(2000),
           .deadline_header = "Time-Left",
           .target_time = base::duration(1000)});
    start({.time_limit = base::duration(2000),
           .deadline_header = "Time-Left",
           .target_time = base::duration(100)});
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    respond_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    raw_server::write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    ASSERT_TRUE(finish(3));
    const std::size_t at = server_.last_input.find("Time-Left: ");
    ASSERT_NE(at, std::string::npos);
    const int left = std::atoi(server_.last_input.c_str() + at + 11);
    EXPECT_GT(left, 0);
    EXPECT_LE(left, 700);
    // The third had no time left when its turn came.
    EXPECT_EQ(server_.request_lines, 2);
    EXPECT_EQ(results_.back().outcome, call_outcome::timed_out);
    EXPECT_FALSE(results_.back().request_may_have_left);
}

// Guards against calls that are taken back after they were sent, or that are sent when
// the end of another one frees its connection.
TEST_F(target_client_test, only_unsent_calls_are_withdrawn)
{
    connect(1);
    int peer = -1;
    server_.on_request = [&peer](int descriptor) { peer = descriptor; };
    start({});
    ASSERT_TRUE(run_until(loop_, [&] { return peer >= 0; }));
    start({});
    start({.is_withdrawable = false});
    start({});
    client_->withdraw_unsent();
    ASSERT_TRUE(finish(2));
    for (const target_result& result : results_) {
        EXPECT_EQ(result.outcome, call_outcome::withdrawn);
        EXPECT_FALSE(result.request_may_have_left);
    }
    respond_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    raw_server::write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    ASSERT_TRUE(finish(4));
    EXPECT_EQ(results_[2].outcome, call_outcome::ok);
    EXPECT_EQ(results_[3].outcome, call_outcome::ok);
    EXPECT_EQ(server_.request_lines, 2);
    EXPECT_EQ(server_.connections, 1);
}

// Guards against "not sent" for a call that was sent, and against a call that is sent
// after it was taken back. A call that waits behind it uses the new connection.
TEST_F(target_client_test, a_call_is_withdrawn_only_before_it_is_sent)
{
    connect(1);
    const auto first = start({});
    start({});
    EXPECT_TRUE(client_->withdraw(first));
    EXPECT_FALSE(client_->withdraw(first));
    int peer = -1;
    server_.on_request = [&peer](int descriptor) { peer = descriptor; };
    ASSERT_TRUE(run_until(loop_, [&] { return peer >= 0; }));
    const auto waiting = start({});
    EXPECT_FALSE(client_->withdraw(waiting - 1));
    EXPECT_TRUE(client_->withdraw(waiting));
    raw_server::write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    ASSERT_TRUE(finish(3));
    EXPECT_EQ(results_[0].outcome, call_outcome::withdrawn);
    EXPECT_EQ(results_[1].outcome, call_outcome::withdrawn);
    EXPECT_EQ(results_[2].outcome, call_outcome::ok);
    EXPECT_EQ(server_.request_lines, 1);
    EXPECT_EQ(server_.connections, 1);
}

// Guards against a late copy of a rejection which names no request, as those of health
// requests, that is taken for the answer to the next request.
TEST_F(target_client_test, a_connection_is_not_used_behind_a_rejection_without_a_name)
{
    respond_with("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    const target_result unnamed = call({});
    EXPECT_EQ(unnamed.outcome, call_outcome::ok);
    const target_call named{.headers = {{"Request-Id", "a"}}};
    const target_result first = call(named);
    EXPECT_NE(first.connection, unnamed.connection);
    respond_with("HTTP/1.1 503 Full\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n");
    const target_result second = call(named);
    EXPECT_NE(second.connection, first.connection);
    EXPECT_EQ(call(named).connection, second.connection);
}

TEST_F(target_client_test, fresh_connections_stay_within_the_cap)
{
    connect(3);
    for (std::size_t i = 0; i < 200; ++i) {
        start({.time_limit = base::duration(5000), .fresh_connection = i % 3 == 0});
    }
    ASSERT_TRUE(finish(200));
    for (const target_result& result : results_) {
        EXPECT_EQ(result.outcome, call_outcome::ok);
    }
    EXPECT_LE(client_->peak_sockets(), 3U);
    EXPECT_EQ(server_.request_lines, 200);
}

// Guards against a body without length that counts although its connection was reset, and
// against one that is refused although the connection ended in order.
TEST_F(target_client_test, a_body_without_length_is_whole_if_the_connection_ends_in_order)
{
    server_.on_request = [this](int peer) {
        raw_server::write(peer, "HTTP/1.1 200 OK\r\n\r\nbody");
        server_.close(peer);
    };
    const target_result whole = call({.accept_unframed = true});
    EXPECT_EQ(whole.outcome, call_outcome::ok);
    EXPECT_EQ(whole.body, "body");
    server_.on_request = [this](int peer) {
        raw_server::write(peer, "HTTP/1.1 200 OK\r\n\r\nbody");
        ASSERT_TRUE(run_until(loop_, [peer] { return raw_server::has_arrived(peer); }));
        const linger reset{1, 0};
        ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        server_.close(peer);
    };
    EXPECT_NE(call({.accept_unframed = true}).outcome, call_outcome::ok);
}

// Guards against the answer to another request when its header has another name.
TEST_F(target_client_test, a_response_that_names_another_request_is_refused)
{
    respond_with("HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(call({.headers = {{"Attempt", "a"}}, .id_header = "Attempt"}).outcome,
              call_outcome::mismatched);
    EXPECT_EQ(call({.headers = {{"Attempt", "b"}}, .id_header = "Attempt"}).outcome,
              call_outcome::ok);
}

// Guards against an order that fails although its own response follows a late second
// response to the request before it.
TEST_F(target_client_test, the_own_response_is_read_behind_one_to_another_request)
{
    const target_call own{.headers = {{"Request-Id", "a"}},
                          .skips_other_responses = true};
    const std::string other =
        "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 4\r\n\r\nlate";
    const std::string wanted =
        "HTTP/1.1 201 Created\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\n{}";
    respond_with(other + wanted);
    const target_result at_once = call(own);
    EXPECT_EQ(at_once.outcome, call_outcome::ok);
    EXPECT_EQ(at_once.status, 201U);
    EXPECT_EQ(at_once.body, "{}");
}

// Guards against a call without end at a target that sends others' responses only, and
// against a response cut short behind one that was dropped.
TEST_F(target_client_test, responses_to_other_requests_alone_are_no_response)
{
    const target_call own{.headers = {{"Request-Id", "a"}},
                          .time_limit = base::duration(100),
                          .skips_other_responses = true};
    const std::string other =
        "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 4\r\n\r\nlate";
    respond_with(other);
    EXPECT_EQ(call(own).outcome, call_outcome::timed_out);
    respond_and_close(other);
    EXPECT_EQ(call(own).outcome, call_outcome::mismatched);
    respond_with(other + other + other + other);
    EXPECT_EQ(call(own).outcome, call_outcome::mismatched);
    respond_with("HTTP/1.1 200 OK\r\nRequest-Id: b\r\nConnection: close\r\n"
                 "Content-Length: 4\r\n\r\nlate");
    EXPECT_EQ(call(own).outcome, call_outcome::mismatched);
    respond_and_close(other + "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                              "Content-Length: 10\r\n\r\nshort");
    EXPECT_EQ(call(own).outcome, call_outcome::truncated);
}

TEST_F(target_client_test, a_long_body_is_refused)
{
    respond_with("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" +
                 std::string(100, 'x'));
    EXPECT_EQ(call({.max_body_bytes = 99}).outcome, call_outcome::too_large);
    EXPECT_EQ(call({.max_body_bytes = 100}).outcome, call_outcome::ok);
}

TEST_F(target_client_test, follows_no_redirect_and_no_proxy_from_the_environment)
{
    ::setenv("http_proxy", "http://127.0.0.1:1", 1);
    respond_with("HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n");
    const target_result result = call({});
    ::unsetenv("http_proxy");
    EXPECT_EQ(result.outcome, call_outcome::ok);
    EXPECT_EQ(result.status, 302U);
    EXPECT_EQ(server_.request_lines, 1);
}

TEST_F(target_client_test, a_client_with_open_calls_can_be_destroyed)
{
    server_.on_request = [](int /*peer*/) {};
    start({});
    ASSERT_TRUE(run_until(loop_, [this] { return server_.request_lines == 1; }));
    client_.reset();
    EXPECT_TRUE(results_.empty());
}

// Guards against an owner that waits for good to release a target, because it was not
// told that the target's connections are closed.
TEST_F(target_client_test, the_end_of_a_client_reports_every_closed_socket)
{
    int opened = 0;
    int closed = 0;
    client_->set_socket_handler(
        [&](target_client::call_number, bool open) { (open ? opened : closed) += 1; });
    call({});
    client_.reset();
    EXPECT_EQ(opened, 1);
    EXPECT_EQ(closed, 1);
}

} // namespace
} // namespace curranthoist::http
