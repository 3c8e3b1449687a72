#pragma once

#include "curranthoist/http/header_map.hpp"
#include "curranthoist/http/memory_account.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace curranthoist::http {

// The response to one caller_request. Content-Length is added by the server.
struct caller_response
{
    unsigned status = 200;
    header_map headers = {{"Content-Type", "application/json"}};
    std::string body = {};
    // The body's part of the memory for responses, if it has one already.
    std::shared_ptr<memory_account::reservation> held_memory = {};
    // Closes the connection after this many bytes of the body, which is announced in
    // full. Only the stand-in target sets it, to produce truncated responses.
    std::optional<std::size_t> break_after = std::nullopt;
};

} // namespace curranthoist::http
