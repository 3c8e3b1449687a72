#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/http/header_map.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace curranthoist::http {

// One HTTP request to a target.
struct target_call
{
    // Any method with its body; HEAD is sent without one.
    std::string method = "POST";
    // The path with its query arguments, already encoded; starts with '/'.
    std::string path = {};
    header_map headers = {};
    // Header lines, each with its line end and Host among them, that several calls share;
    // null if there are none. `headers` follow.
    std::shared_ptr<const std::string> common_headers = {};
    // Sent with its length; an empty one only with POST, PUT and PATCH.
    std::string body = {};
    // The body instead, if several calls share it.
    std::shared_ptr<const std::string> shared_body = {};
    // From start() to the end of the response, including the wait for a connection.
    base::duration time_limit{1000};
    // The header that tells the target how many milliseconds it has; empty if it is not
    // told. The header is written when the request is sent, with what is left of
    // `target_time` since start(). A call that waits longer is not sent.
    std::string_view deadline_header = {};
    base::duration target_time{};
    // Whether withdraw_unsent() ends it. A health request goes to a target that gets
    // nothing else.
    bool is_withdrawable = true;
    // Sends it on a connection that nothing else has used or will use. Orders need it.
    bool fresh_connection = false;
    // Asks the kernel, right before the send, whether a kept connection has ended or
    // holds bytes of no request. Worth a system call for requests that can't be repeated.
    bool checks_connection = true;
    // The header that names the request; a response that names another one is refused.
    std::string_view id_header = "Request-Id";
    // Drops a whole response that names another request and waits for the next one on
    // the same connection: a late second response comes before the own one. Otherwise
    // the first response that names another request ends the call.
    bool skips_other_responses = false;
    // Refuses a success that names no request if an earlier response on its connection
    // named one: it is a late copy of another.
    bool expects_names = false;
    // Takes a body without length as whole if the target ends the connection in order.
    // Otherwise such a response counts as truncated.
    bool accept_unframed = false;
    // A longer response body ends the call as too large.
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

    // The body that is sent.
    [[nodiscard]] std::string_view content() const
    {
        return shared_body ? std::string_view(*shared_body) : std::string_view(body);
    }
};

} // namespace curranthoist::http
