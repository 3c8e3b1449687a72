#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/caller_server_options.hpp"
#include "curranthoist/http/memory_account.hpp"
#include "curranthoist/http/responder.hpp"

#include <ev++.h>
#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace curranthoist::http {

namespace internal {
struct connection_load;
class http_daemon;
enum class shortage;
} // namespace internal

// HTTP/1.1 server for callers, targets and operators: libmicrohttpd driven by the libev
// loop. Requests are handed over whole; a request that is malformed or over a limit costs
// its own connection and never reaches the handler. Connections, bodies that arrive and
// responses that wait for their callers have limits for all callers together; who makes
// the least progress gives way (internal/connection_load.hpp).
//
//     http::caller_server server(loop, {.listen = {"127.0.0.1", 8080}},
//         [](http::caller_request request, http::responder answer) {
//             answer.respond({.body = "{}"});
//         });
class caller_server
{
public:
    // Receives each whole request. It may answer at once or keep the responder. It must
    // not destroy the server.
    using request_handler = std::function<void(caller_request, responder)>;
    // Asked for each accepted connection; false closes it at once.
    using accept_filter = std::function<bool()>;
    // Told when a connection opens and closes, with its number.
    using connection_handler = std::function<void(std::uint64_t connection, bool open)>;

    // Within this time the last packet of a handshake arrives, or its connection is lost.
    // Several times the way between two zones and back.
    static constexpr base::duration handshake_time{100};
    // From the accepted connection to the first request of a caller that has a processor
    // to itself only now and then.
    static constexpr base::duration first_request_time{500};

    // How long an idle connection stays whose memory has the size for former limits.
    static constexpr base::duration replaced_connection_time{500};

    // Throws std::system_error if the address can't be bound.
    caller_server(ev::loop_ref loop, caller_server_options options,
                  request_handler on_request);
    // Closes every connection, without calling any handler.
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    // The memory that one connection may take besides counted bodies, if the server is
    // made for heads of `max_header_bytes`.
    [[nodiscard]] static std::size_t connection_bytes(std::size_t max_header_bytes);

    // Changes the limits for the requests that begin from now on. Heads of another length
    // than the server was made for need connections with memory of another size: new
    // connections have it, those that are open end after their requests or, if they are
    // idle, after replaced_connection_time. A head that leaves no room for its response
    // is refused with 431 also below the limit.
    void set_request_limits(std::size_t max_header_bytes, std::size_t max_body_bytes);
    // Closes a connection on which no request has become complete for `idle` and `head`
    // together, or on which a body has not moved for `idle`. Nothing is closed before the
    // first call.
    void set_time_limits(base::duration idle, base::duration head);
    // Replaces the filter of new connections; empty accepts all.
    void set_accept_filter(accept_filter filter) { accept_filter_ = std::move(filter); }
    void set_connection_handler(connection_handler handler)
    {
        on_connection_ = std::move(handler);
    }

    // Begins to close the listening socket. New connections are refused from now on,
    // those whose handshake has begun are still taken for handshake_time. Open
    // connections keep working; each response from now on asks the caller to close its
    // connection.
    void stop_accepting();
    // Each response from now on asks the caller to close its connection; new connections
    // are still accepted.
    void announce_close() { announces_close_ = true; }
    // Closes the connections on which no request is open, so that a caller does not begin
    // one there. Bytes that are under way meet a closed connection. A new connection is
    // spared for first_request_time, since its caller is about to send; call it again.
    void close_idle();
    // False once the listening socket is closed.
    [[nodiscard]] bool is_listening() const { return listening_; }
    // Requests that were received but whose responses are not completely sent.
    [[nodiscard]] std::size_t open_requests() const { return exchanges_.size(); }
    // The connections that the present limits allow at once.
    [[nodiscard]] std::size_t max_connections() const;
    // Connections whose other end has not closed, as the kernel sees it now.
    [[nodiscard]] std::size_t live_connections() const;
    // Connections that were closed so that others could be served.
    [[nodiscard]] std::size_t evicted_connections() const { return evicted_; }
    // The bodies of requests that are held.
    [[nodiscard]] const memory_account& request_memory() const
    {
        return *request_memory_;
    }
    // Where it listens, with the chosen port.
    [[nodiscard]] const base::endpoint& local() const { return local_; }

private:
    friend class internal::exchange;

    struct connection_entry
    {
        std::uint64_t number;
        int descriptor;
        // Gives it its memory.
        internal::http_daemon* daemon;
        base::instant opened;
        // When it was opened, or its last request ended.
        base::instant idle_since;
        // A request has begun on it.
        bool used = false;
        // This server has shut it down; the library has not closed it yet.
        bool closing = false;
    };
    using connection_map = std::map<MHD_Connection*, connection_entry>;

    static MHD_Result accept_callback(void* self, const sockaddr* address,
                                      socklen_t size);
    static void* target_callback(void* self, const char* target,
                                 MHD_Connection* connection);
    static MHD_Result access_callback(void* self, MHD_Connection* connection,
                                      const char* url, const char* method,
                                      const char* version, const char* data,
                                      std::size_t* size, void** context);
    static void completed_callback(void* self, MHD_Connection* connection, void** context,
                                   MHD_RequestTerminationCode code);
    static void connection_callback(void* self, internal::http_daemon& at,
                                    MHD_Connection* connection,
                                    MHD_ConnectionNotificationCode code);

    // Starts a daemon that accepts connections with blocks of this size.
    [[nodiscard]] std::unique_ptr<internal::http_daemon>
    make_daemon(std::size_t block_bytes);
    void run_daemons();
    // Lets new connections have blocks of wanted_block_bytes_.
    void replace_daemon();
    void on_replacement(ev::timer& watcher, int events);
    // Closes the idle connections of former daemons, and drops those without any.
    void close_replaced();
    // Whether one more connection with such a block is within the limits.
    [[nodiscard]] bool has_room(std::size_t block_bytes) const;
    [[nodiscard]] std::size_t connections_with(std::size_t block_bytes) const;
    void close_listener();
    void take_waiting_connections();
    void on_handshakes_over(ev::timer& watcher, int events);
    void on_peer_close_event(ev::io& watcher, int events);
    void on_time_limit(ev::timer& watcher, int events);

    // What the connection holds; it counts as running if it can't be closed.
    [[nodiscard]] internal::connection_load load_of(MHD_Connection* connection,
                                                    const connection_entry& entry) const;
    // Closes the connection that makes the least progress. Returns false if there is
    // none, or if it is that of `growing`, which is left alone.
    bool evict(internal::shortage what, const internal::exchange* growing = nullptr);
    // Closes a connection after a response that its caller may not read. The request on
    // it, if there is one, has not been handed over or has been answered.
    void shut_down(MHD_Connection* connection, connection_entry& entry,
                   std::string_view response);

    MHD_Result begin_exchange(MHD_Connection* connection, const char* url,
                              const char* method, void** context);
    // The bytes that the header lines of the response may have.
    [[nodiscard]] std::size_t room_for_response_head(MHD_Connection* connection,
                                                     const caller_request& request) const;
    MHD_Result continue_exchange(internal::exchange& current, const char* data,
                                 std::size_t* size);
    MHD_Result finish_exchange(internal::exchange& current);
    MHD_Result refuse_early(MHD_Connection* connection, unsigned status,
                            std::string_view error);
    // Makes room for the body with what has arrived and `more` bytes; false if the memory
    // for requests has none.
    bool reserve_body(internal::exchange& current, std::size_t more);
    MHD_Result queue_response(MHD_Connection* connection, const caller_response& answer);
    // The same for the response of an exchange, whose body is not copied if it is long.
    MHD_Result queue_own_response(internal::exchange& current);
    MHD_Result queue(MHD_Connection* connection, const caller_response& answer,
                     MHD_Response* response);
    void deliver(internal::exchange& current);
    void suspend(internal::exchange& current);
    void resume(internal::exchange& current);
    void peer_closed(internal::exchange& current);

    ev::loop_ref loop_;
    caller_server_options options_;
    // The least memory of a connection, and that which the present limits need.
    std::size_t min_block_bytes_;
    std::size_t wanted_block_bytes_;
    // Of all connections that are not being closed.
    std::size_t held_block_bytes_ = 0;
    std::shared_ptr<memory_account> request_memory_;
    std::shared_ptr<memory_account> response_memory_;
    // The body that grows at this moment.
    const internal::exchange* growing_ = nullptr;
    std::size_t closing_ = 0;
    std::size_t evicted_ = 0;
    base::duration idle_limit_{};
    base::duration head_limit_{};
    request_handler on_request_;
    accept_filter accept_filter_;
    connection_handler on_connection_;
    int listener_;
    base::endpoint local_;
    // The last one accepts connections.
    std::vector<std::unique_ptr<internal::http_daemon>> daemons_;
    base::instant replaced_at_;
    // Reports closed connections while they are suspended. libmicrohttpd does not watch
    // suspended sockets, and libev can't wait for EPOLLRDHUP without waiting for data.
    int close_epoll_;
    ev::io close_watcher_;
    // Runs from stop_accepting() until the listening socket is closed.
    ev::timer handshake_timer_;
    ev::timer limit_timer_;
    // Runs while there are former daemons, or one could not be started.
    ev::timer replacement_timer_;
    base::monotonic_clock clock_;
    base::logger log_{"http"};
    bool listening_ = true;
    bool announces_close_ = false;
    std::uint64_t last_connection_ = 0;
    connection_map connections_;
    // Path and query of the request that each connection is receiving.
    std::map<MHD_Connection*, std::string> targets_;
    std::map<MHD_Connection*, std::shared_ptr<internal::exchange>> exchanges_;
};

} // namespace curranthoist::http
