#pragma once

#include "curranthoist/wire/peer_connection.hpp"

#include <ev++.h>

#include <memory>
#include <string>
#include <utility>

namespace curranthoist::consensus {

// An accepted connection whose handlers can be replaced, so that it can be handed to
// another owner after its first message. The handlers may destroy the session.
class peer_session
{
public:
    using message_handler = wire::peer_connection::message_handler;
    using close_handler = wire::peer_connection::close_handler;

    // Takes ownership of the connected socket.
    peer_session(ev::loop_ref loop, int descriptor,
                 std::shared_ptr<wire::peer_account> account = nullptr);
    peer_session(const peer_session&) = delete;
    peer_session& operator=(const peer_session&) = delete;

    // Replaces both handlers. Frames that arrive later go to the new ones.
    void set_handlers(message_handler on_message, close_handler on_close);
    // Closes the session unless a first message arrives within `limit`.
    void expect_message_within(base::duration limit)
    {
        connection_.expect_message_within(limit);
    }
    template <class Message>
    void send(Message message)
    {
        connection_.send(std::move(message));
    }
    void send_frame(std::vector<std::uint8_t> frame)
    {
        connection_.send_frame(std::move(frame));
    }
    // Adds what is read and written from now on to `count`, which must outlive the
    // session.
    void count_traffic(base::traffic_count* count) { connection_.count_traffic(count); }
    // Bytes received since the connection was opened.
    [[nodiscard]] std::uint64_t bytes_received() const
    {
        return connection_.bytes_received();
    }
    [[nodiscard]] bool is_open() const { return connection_.is_open(); }
    [[nodiscard]] std::size_t queued_bytes() const { return connection_.queued_bytes(); }

private:
    message_handler on_message_;
    close_handler on_close_;
    wire::peer_connection connection_;
};

} // namespace curranthoist::consensus
