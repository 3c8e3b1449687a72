#pragma once

#include <ev++.h>
#include <microhttpd.h>

#include <cstddef>

#include <sys/socket.h>

namespace curranthoist::http::internal {

// One daemon of libmicrohttpd on the libev loop, with a listening socket and connections
// whose memory blocks have one size. A caller_server has one that accepts, and for a time
// those whose connections began with blocks of another size.
class http_daemon
{
public:
    struct options
    {
        std::size_t block_bytes = 0;
        // Connections that the library holds at once.
        unsigned max_connections = 0;
        unsigned idle_seconds = 0;
    };
    // What the library calls, each with `self`.
    struct callbacks
    {
        MHD_AcceptPolicyCallback accept;
        void* (*target)(void* self, const char* target, MHD_Connection* connection);
        MHD_AccessHandlerCallback access;
        MHD_RequestCompletedCallback completed;
        void (*connection)(void* self, http_daemon& at, MHD_Connection* connection,
                           MHD_ConnectionNotificationCode code);
        void* self;
    };

    // Accepts from a duplicate of `listener`, which stays the caller's. Throws
    // std::system_error or std::runtime_error.
    http_daemon(ev::loop_ref loop, int listener, options limits, const callbacks& calls);
    // Closes every connection.
    ~http_daemon();
    http_daemon(const http_daemon&) = delete;
    http_daemon& operator=(const http_daemon&) = delete;

    // Lets the library handle what is ready.
    void run();
    // The same when the loop comes round.
    void wake() { watcher_.feed_event(ev::READ); }
    // Accepts no more connections.
    void stop_accepting();
    // Takes a connection that was accepted elsewhere, or closes it.
    void add(int descriptor, const sockaddr* address, socklen_t size);
    [[nodiscard]] std::size_t block_bytes() const { return limits_.block_bytes; }
    // Connections that the library holds.
    [[nodiscard]] unsigned connections() const { return connections_; }

private:
    static void connection_callback(void* self, MHD_Connection* connection,
                                    void** context, MHD_ConnectionNotificationCode code);
    void on_event(ev::io& watcher, int events);
    void on_timer(ev::timer& watcher, int events);

    options limits_;
    callbacks calls_;
    unsigned connections_ = 0;
    // As many connections as it may hold were open; the library waits for no more.
    bool was_full_ = false;
    MHD_Daemon* daemon_ = nullptr;
    ev::io watcher_;
    ev::timer timer_;
    bool accepting_ = true;
};

} // namespace curranthoist::http::internal
