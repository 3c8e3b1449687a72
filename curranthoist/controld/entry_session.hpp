#pragma once

#include "curranthoist/wire/peer_connection.hpp"

#include <ev++.h>

#include <string>
#include <utility>
#include <vector>

namespace curranthoist::controld {

// A connection whose handlers can be replaced after its first message.
class entry_session
{
public:
    using message_handler = wire::peer_connection::message_handler;
    using close_handler = wire::peer_connection::close_handler;

    // Takes ownership of the connected socket.
    entry_session(ev::loop_ref loop, int descriptor)
        : connection_(
              loop, descriptor,
              [this](const wire::envelope& message) {
                  const message_handler handler = on_message_;
                  handler(message);
              },
              [this](const std::string& reason) {
                  const close_handler handler = on_close_;
                  handler(reason);
              })
    {}

    void set_handlers(message_handler on_message, close_handler on_close)
    {
        on_message_ = std::move(on_message);
        on_close_ = std::move(on_close);
    }
    void send_frame(std::vector<std::uint8_t> frame)
    {
        connection_.send_frame(std::move(frame));
    }

private:
    message_handler on_message_;
    close_handler on_close_;
    wire::peer_connection connection_;
};

} // namespace curranthoist::controld
