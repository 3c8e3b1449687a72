#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/wire/peer_connection.hpp"

#include <ev++.h>

#include <functional>
#include <memory>
#include <string>

namespace curranthoist::wire {

// Keeps one connection to a peer: connects, and connects again with a delay that doubles
// from min_delay to max_delay while attempts fail. Its handlers must not destroy it.
// Messages that are sent while there is no connection are dropped; the sender learns so.
class peer_dialer
{
public:
    static constexpr base::duration min_delay{50};
    static constexpr base::duration max_delay{400};
    // A connection attempt without an answer is given up after this time: a peer without
    // power answers nothing, and its kernel forgets the attempt.
    static constexpr base::duration connect_limit{400};

    // Called after each successful connect, before any message arrives.
    using connect_handler = std::function<void()>;
    using message_handler = peer_connection::message_handler;
    // Called after an established connection was lost.
    using close_handler = std::function<void(const std::string& reason)>;

    peer_dialer(ev::loop_ref loop, base::endpoint remote, connect_handler on_connect,
                message_handler on_message, close_handler on_close);
    ~peer_dialer();
    peer_dialer(const peer_dialer&) = delete;
    peer_dialer& operator=(const peer_dialer&) = delete;

    // Queues the message and returns true if there is a connection, otherwise false.
    template <class Message>
    bool send(Message message)
    {
        if (!is_connected()) {
            return false;
        }
        connection_->send(std::move(message));
        return true;
    }
    // The same for an encoded frame.
    bool send_frame(std::vector<std::uint8_t> frame);

    // Adds what is read and written to `count`, which must outlive the dialer. To be
    // called before the loop runs.
    void count_traffic(base::traffic_count* count) { traffic_ = count; }

    // Drops the current connection, if any, without calling the close handler, and
    // connects again at once. For a connection that has gone silent.
    void reconnect();

    [[nodiscard]] bool is_connected() const { return connected_; }
    [[nodiscard]] const base::endpoint& remote() const { return remote_; }
    // Bytes that wait to be sent; 0 without a connection.
    [[nodiscard]] std::size_t queued_bytes() const;

private:
    void start_connecting();
    void on_connect_event(ev::io& watcher, int events);
    void on_timer(ev::timer& watcher, int events);
    void retry_later();
    void abandon_attempt();
    void connection_lost(const std::string& reason);

    ev::loop_ref loop_;
    base::endpoint remote_;
    connect_handler on_connect_;
    message_handler on_message_;
    close_handler on_close_;
    ev::io connect_watcher_;
    ev::timer timer_;
    int connecting_ = -1;
    bool connected_ = false;
    base::duration delay_ = min_delay;
    // Null while nobody counts.
    base::traffic_count* traffic_ = nullptr;
    std::unique_ptr<peer_connection> connection_;
};

} // namespace curranthoist::wire
