#pragma once

#include "curranthoist/base/endpoint.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

namespace curranthoist::testing {

// Forwards TCP connections from one address to another and can stop without closing them,
// as a network that loses every packet does:
//
//     tcp_forwarder link({link_address, 7000}, {process_address, 7000});
//     link.cut(true, false); // nothing gets through to the process any more
//     link.heal();           // what was held back arrives late
//
// It runs on a thread of its own. A cut direction passes on neither bytes nor the end of
// the connection; new connections are accepted and stay silent.
class tcp_forwarder
{
public:
    // Throws std::system_error if it cannot listen.
    tcp_forwarder(const base::endpoint& listen, base::endpoint upstream);
    ~tcp_forwarder();
    tcp_forwarder(const tcp_forwarder&) = delete;
    tcp_forwarder& operator=(const tcp_forwarder&) = delete;

    void cut(bool to_upstream, bool from_upstream);
    void heal() { cut(false, false); }
    // The connections that are open now stay silent for good; new ones work.
    void silence_open_connections() { ++silenced_; }
    // The connections that are open now are reset; new ones work.
    void reset_open_connections() { ++resets_; }
    // Bytes that arrive from now on are passed on this much later.
    void delay(std::chrono::milliseconds by) { delay_ms_ = by.count(); }
    // Bytes passed on in both directions so far.
    [[nodiscard]] std::size_t forwarded_bytes() const { return forwarded_; }

private:
    // One direction of one connection.
    struct lane
    {
        int from = -1;
        int to = -1;
        bool upwards = false;
        bool ended = false;
        std::string waiting = {};
        // When the waiting bytes may go on.
        std::chrono::steady_clock::time_point held_until = {};
    };
    struct connection
    {
        lane up;
        lane down;
        bool silent = false;
    };

    void run();
    void poll_once();
    void accept_one();
    void add_poll(std::vector<pollfd>& list, const connection& one) const;
    [[nodiscard]] bool is_cut(const connection& one, const lane& way) const;
    // Moves what can be moved; returns false if the connection is broken.
    bool move(const connection& one, lane& way);
    static void close_both(const connection& one);
    void reset_all();

    base::endpoint upstream_;
    int listener_ = -1;
    std::list<connection> connections_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> up_cut_{false};
    std::atomic<bool> down_cut_{false};
    std::atomic<unsigned> silenced_{0};
    unsigned silenced_seen_ = 0;
    std::atomic<unsigned> resets_{0};
    unsigned resets_seen_ = 0;
    std::atomic<std::int64_t> delay_ms_{0};
    std::atomic<std::size_t> forwarded_{0};
    std::thread thread_;
};

} // namespace curranthoist::testing
