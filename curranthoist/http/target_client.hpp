#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/traffic_count.hpp"
#include "curranthoist/http/memory_account.hpp"
#include "curranthoist/http/socket_budget.hpp"
#include "curranthoist/http/target_call.hpp"
#include "curranthoist/http/target_result.hpp"

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace curranthoist::http {

namespace internal {
struct running_call;
struct target_connection;
} // namespace internal

// HTTP/1.1 client of one target with a pool of kept connections of its own, on the libev
// loop. Each call is sent at most once, on one connection. Redirects and proxies are
// never followed.
//
// It reads with http_parser and not with libcurl's multi interface: a query goes to
// dozens of targets at once, and libcurl takes several times the processor time for each
// of them.
//
//     http::target_client client(loop, {"10.0.3.7", 8080}, 6);
//     client.start({.path = "/v1/part?...", .body = "{}", .time_limit = 200_ms},
//                  [](http::target_result result) { ... });
class target_client
{
public:
    using call_number = std::uint64_t;
    // Receives the result, once, from the loop and never inside start() or cancel(). It
    // may start and cancel calls but must not destroy the client.
    using result_handler = std::function<void(target_result)>;

    // Told when a socket was opened for a call (its number) and when one was closed
    // (number 0). It must not start or cancel a call.
    using socket_handler = std::function<void(call_number call, bool opened)>;

    // A connection that is not made within this time is given up: nothing has been sent,
    // so the call can go elsewhere. A handshake takes a few milliseconds; a target
    // without power answers nothing.
    static constexpr base::duration connect_limit{250};

    // How long a connection is kept for the response to an abandoned call. Longer than a
    // target's pause.
    static constexpr base::duration linger_limit{300};

    // Has at most `max_connections` sockets open at any time. Calls beyond that number
    // wait, in order, within their time limits.
    target_client(ev::loop_ref loop, base::endpoint remote, std::size_t max_connections);
    // Closes all connections; results that are not delivered yet are dropped.
    ~target_client();
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;

    call_number start(target_call call, result_handler on_done);
    // Opens a connection for later calls, unless one is idle or the limit is reached.
    void preconnect();
    // Ends a call and closes its connection; its result is `cancelled`. Does nothing if
    // the call has ended.
    void cancel(call_number number);
    // The same, but the connection is kept if the response comes within linger_limit: a
    // new one costs more than a late response. A target that is at work goes on with it.
    void abandon(call_number number);

    // Ends a call of which no byte has left, with the outcome `withdrawn`, and returns
    // true: nothing of it will be sent. Otherwise does nothing.
    bool withdraw(call_number number);
    // Ends the calls of which no byte has left, with the outcome `withdrawn`.
    void withdraw_unsent();

    void set_socket_handler(socket_handler handler) { on_socket_ = std::move(handler); }

    // Counts the bodies of responses within a limit that other clients share.
    void limit_memory(std::shared_ptr<memory_account> memory)
    {
        memory_ = std::move(memory);
    }

    // Counts the sockets within a limit that other clients share. To be called before the
    // first one is opened.
    void limit_sockets(std::shared_ptr<socket_budget> sockets)
    {
        sockets_ = std::move(sockets);
    }
    // Numbers the calls together with other clients, so that a number names one call of
    // all of them. To be called before the first call.
    void share_numbers(std::shared_ptr<call_number> last_call)
    {
        last_call_ = std::move(last_call);
    }
    // Adds what is sent and received to `count`, which must outlive the client.
    void count_traffic(base::traffic_count* count) { traffic_ = count; }
    // Closes a connection that serves no call; returns false if there is none.
    bool close_idle();
    // Lets calls go on that waited for a socket of the shared limit.
    void retry_waiting() { start_waiting_calls(); }

    // Changes the limit for connections that are opened from now on. Idle connections
    // above the limit are closed as calls end.
    void set_max_connections(std::size_t max_connections);

    [[nodiscard]] std::size_t max_connections() const { return max_connections_; }
    [[nodiscard]] std::size_t open_sockets() const { return connections_.size(); }
    // The most sockets that were open at once.
    [[nodiscard]] std::size_t peak_sockets() const { return peak_sockets_; }
    // Calls whose results are not delivered yet.
    [[nodiscard]] std::size_t open_calls() const;
    // True if a call may be waiting for a connection.
    [[nodiscard]] bool has_waiting_calls() const { return !waiting_.empty(); }
    [[nodiscard]] const base::endpoint& remote() const { return remote_; }

private:
    using call_pointer = std::unique_ptr<internal::running_call>;
    using connection_pointer = std::unique_ptr<internal::target_connection>;

    void start_waiting_calls();
    // Whether the call's time limit has passed, also if the loop has not seen it yet.
    [[nodiscard]] bool is_overdue(const internal::running_call& call) const;
    [[nodiscard]] std::size_t busy_connections() const;
    // An idle connection that can take a request, or null; closes those that can't. With
    // `check` it asks the kernel for bytes or an end that the loop has not seen yet.
    internal::target_connection* take_idle(bool check);
    // Whether the shared limit allows another socket.
    [[nodiscard]] bool has_socket() { return !sockets_ || sockets_->make_room(); }
    // A new connection within the limit, or null with the reason in the call's outcome.
    internal::target_connection* open_connection(call_number first);
    void assign(internal::running_call& call, internal::target_connection& to);
    void close(internal::target_connection& connection);
    void close_idle_above_limit();

    void set_events(internal::target_connection& connection, int events);
    void on_socket_event(ev::io& watcher, int events);
    void on_connected(internal::target_connection& connection);
    // No connection came about: ends the call that waits for it, if there is one.
    void give_up(internal::target_connection& connection);
    void on_connect_limit(ev::timer& watcher, int events);
    // Makes the request of the connection's call ready to be sent.
    void set_output(internal::target_connection& connection) const;
    void write(internal::target_connection& connection);
    void read(internal::target_connection& connection);
    void end_connection(internal::target_connection& connection, bool in_order);
    void finish(internal::target_connection& connection, call_outcome outcome);
    void end_call(call_number number, call_outcome outcome);
    // The call on this connection has failed; an abandoned one has no result any more.
    void fail(internal::target_connection& connection, call_outcome outcome);
    // Hands out the call's result; its connection is left as it is.
    void conclude(internal::running_call& call, call_outcome outcome);
    void close_abandoned_connection();
    void deliver_results();

    void on_deadline(ev::timer& watcher, int events);
    void on_delivery(ev::timer& watcher, int events);

    ev::loop_ref loop_;
    base::endpoint remote_;
    base::monotonic_clock clock_;
    std::size_t max_connections_;
    socket_handler on_socket_;
    std::shared_ptr<memory_account> memory_;
    // Null without a shared limit.
    std::shared_ptr<socket_budget> sockets_;
    // Null while nobody counts.
    base::traffic_count* traffic_ = nullptr;
    ev::timer delivery_timer_;
    std::uint64_t last_connection_ = 0;
    std::shared_ptr<call_number> last_call_ = std::make_shared<call_number>(0);
    std::size_t peak_sockets_ = 0;
    // By descriptor.
    std::map<int, connection_pointer> connections_;
    std::map<call_number, call_pointer> calls_;
    // Calls that wait for a connection; ended ones are skipped.
    std::deque<call_number> waiting_;
    std::deque<std::pair<result_handler, target_result>> finished_;
};

} // namespace curranthoist::http
