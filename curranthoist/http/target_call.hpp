#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/http/header_map.hpp"

#include <cstddef>
#include <string>

namespace curranthoist::http {

// One HTTP request to a target.
struct target_call
{
    // "GET" or "POST".
    std::string method = "POST";
    // The path with its query arguments, already encoded; starts with '/'.
    std::string path = {};
    header_map headers = {};
    // Sent with POST only.
    std::string body = {};
    // From start() to the end of the response, including the wait for a connection.
    base::duration time_limit{1000};
    // Sends it on a connection that nothing else has used or will use. Orders need it.
    bool fresh_connection = false;
    // A longer response body ends the call as too large.
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
};

} // namespace curranthoist::http
