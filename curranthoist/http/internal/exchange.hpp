#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/caller_response.hpp"

#include <microhttpd.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace curranthoist::http {
class caller_server;
}

namespace curranthoist::http::internal {

struct response_body;

// How far one request has come.
enum class exchange_phase
{
    // The body is being received.
    reading,
    // The body is too long; it is read and dropped so that the caller sees the refusal.
    discarding,
    // The handler has the request.
    waiting,
    // There is a response to send.
    answered,
    // The connection is to be closed, or is closed, without a response.
    closed,
};

// One request of a caller_server, from its headers to the end of its response. The server
// and the responders share it.
class exchange
{
public:
    exchange(caller_server& server, MHD_Connection* connection, int descriptor)
        : server_(&server)
        , connection_(connection)
        , descriptor_(descriptor)
    {}

    caller_request request;
    exchange_phase phase = exchange_phase::reading;
    std::optional<caller_response> response;
    std::function<void()> on_close;
    bool suspended = false;
    std::size_t discarded_bytes = 0;
    // The bytes that the header lines of the response may have.
    std::size_t response_head_room = 0;
    // When the request began, and when it last made progress: a piece of its body
    // arrived, or it was answered.
    base::instant began;
    base::instant last_progress;
    // The body that is being sent, if it is counted.
    std::shared_ptr<response_body> sending;

    bool respond(caller_response answer);
    // Closes the connection without a response unless the request was answered.
    void drop();
    // The server or the connection has ended; nothing can be sent any more.
    void detach()
    {
        server_ = nullptr;
        connection_ = nullptr;
    }

    [[nodiscard]] MHD_Connection* connection() const { return connection_; }
    [[nodiscard]] int descriptor() const { return descriptor_; }

private:
    caller_server* server_;
    MHD_Connection* connection_;
    int descriptor_;
};

} // namespace curranthoist::http::internal
