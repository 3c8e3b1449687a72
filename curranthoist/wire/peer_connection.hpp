#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/traffic_count.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::wire {

class peer_account;

namespace internal {
struct peer_load;
}

// One TCP connection between two of the system's processes. It owns its socket and sends
// and receives whole frames on the loop. Use peer_listener or peer_dialer to get one.
//
// A peer that sends a frame which is too long or fails verification, or that lets more
// than max_queued_bytes pile up, loses this connection and nothing else.
class peer_connection
{
public:
    // What a peer may leave unread before the connection is closed.
    static constexpr std::size_t max_queued_bytes = std::size_t{64} * 1024 * 1024;
    // The longest first frame of a connection with an account: a hello.
    static constexpr std::size_t max_first_frame_bytes = std::size_t{4} * 1024;
    // Frames that arrive or wait up to this size are not counted.
    static constexpr std::size_t uncounted_bytes = std::size_t{4} * 1024;

    // Called for each frame; the envelope is valid during the call only. The handler may
    // destroy the connection.
    using message_handler = std::function<void(const envelope&)>;
    // Called once after the socket is closed by the peer or by an error, with the reason.
    // The handler may destroy the connection.
    using close_handler = std::function<void(const std::string&)>;

    // Takes ownership of the non-blocking, connected or connecting socket `descriptor`.
    // An accepted connection shares the account of its port; it may be closed, with the
    // close handler, to make room for others.
    peer_connection(ev::loop_ref loop, int descriptor, message_handler on_message,
                    close_handler on_close,
                    std::shared_ptr<peer_account> account = nullptr);
    ~peer_connection();
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    // Queues a message; it leaves in order. Does nothing after the connection is closed.
    // Throws std::length_error if the message exceeds the frame limit.
    template <class Message>
    void send(Message message)
    {
        send_frame(encode_frame(std::move(message)));
    }
    // Queues an encoded frame, for a message that goes to several peers.
    void send_frame(std::vector<std::uint8_t> frame);

    // Closes the connection, with the close handler, unless a first message arrives
    // within `limit`. For accepted connections: whoever connects and says nothing must
    // not keep a socket for good.
    void expect_message_within(base::duration limit);

    // Closes the socket without calling the close handler. Queued messages are dropped.
    void close();
    [[nodiscard]] bool is_open() const
    {
        return descriptor_ >= 0 && gives_way_because_.empty();
    }
    // Bytes that wait to be sent.
    [[nodiscard]] std::size_t queued_bytes() const { return queued_bytes_; }
    // Adds what is read and written from now on to `count`, which must outlive the
    // connection.
    void count_traffic(base::traffic_count* count) { traffic_ = count; }
    // Bytes read from and written to the socket since it was opened.
    [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    friend class peer_account;

    // Set to true when the connection is destroyed or closed inside a handler.
    using closed_flag = bool;

    void on_readable(ev::io& watcher, int events);
    void on_writable(ev::io& watcher, int events);
    void on_silence(ev::timer& watcher, int events);
    // Reads once; returns false when there is nothing more to read now.
    bool read_some();
    // Consumes received bytes; returns false once the connection is closed.
    bool consume(std::size_t size, const std::uint8_t* bytes);
    bool deliver_frame();
    // The longest frame that may arrive next.
    [[nodiscard]] std::size_t longest_frame() const;
    // Makes room for `more` bytes of the frame that arrives; false if there is none.
    bool reserve_body(std::size_t more);
    // Counts what is held now, with a body of this capacity; false if that has no room.
    bool count_held(std::size_t body_capacity);
    // Lets go of everything now and closes the connection from the loop.
    void give_way(std::string reason);
    [[nodiscard]] internal::peer_load load() const;
    void fail(const std::string& reason);
    void write_queue();

    int descriptor_;
    message_handler on_message_;
    close_handler on_close_;
    ev::io read_watcher_;
    ev::io write_watcher_;
    ev::timer silence_timer_;
    std::vector<std::uint8_t> prefix_;
    std::vector<std::uint8_t> body_;
    std::size_t body_filled_ = 0;
    std::deque<std::vector<std::uint8_t>> queue_;
    std::size_t front_sent_ = 0;
    std::size_t queued_bytes_ = 0;
    // Null while nobody counts.
    base::traffic_count* traffic_ = nullptr;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t bytes_sent_ = 0;
    closed_flag* closed_in_handler_ = nullptr;
    std::shared_ptr<peer_account> account_;
    // What the account has counted.
    std::size_t counted_bytes_ = 0;
    std::string gives_way_because_;
    bool greeted_ = false;
    base::monotonic_clock clock_;
    base::instant opened_;
    base::instant last_message_;
    base::instant last_progress_;
    base::instant frame_began_;
};

} // namespace curranthoist::wire
