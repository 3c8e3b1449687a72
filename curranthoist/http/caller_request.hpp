#pragma once

#include "curranthoist/http/header_map.hpp"
#include "curranthoist/http/memory_account.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace curranthoist::http {

// One complete request that a caller_server received.
struct caller_request
{
    // Query arguments by name, decoded. An argument without a value is empty.
    using argument_map = std::map<std::string, std::string, std::less<>>;

    std::string method = {};
    // The decoded path, without the query arguments.
    std::string path = {};
    // Path and query as they were sent, not decoded.
    std::string target = {};
    argument_map arguments = {};
    header_map headers = {};
    std::string body = {};
    // The body's part of the server's memory for requests; null if it takes none.
    std::shared_ptr<memory_account::reservation> held_memory = {};
    // Number of the connection it came on, from 1, unique in the server's life.
    std::uint64_t connection = 0;
    // True if it is the first request on that connection.
    bool connection_was_new = false;

    // The header's value; nothing if the request has no such header.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::nullopt : std::optional(found->second);
    }
    // The query argument's value; nothing if there is none of that name.
    [[nodiscard]] std::optional<std::string> argument(std::string_view name) const
    {
        const auto found = arguments.find(name);
        return found == arguments.end() ? std::nullopt : std::optional(found->second);
    }
};

} // namespace curranthoist::http
