#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/http/call_outcome.hpp"
#include "curranthoist/http/header_map.hpp"
#include "curranthoist/http/memory_account.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace curranthoist::http {

// What became of one call to a target. Status, headers and body are meaningful only if
// the outcome is `ok`.
struct target_result
{
    call_outcome outcome = call_outcome::ok;
    unsigned status = 0;
    header_map headers = {};
    std::string body = {};
    // The body's part of the process's response memory; null if it takes none.
    std::shared_ptr<memory_account::reservation> held_memory = {};
    // False only if it is certain that no byte of the request left this process.
    bool request_may_have_left = false;
    // Number of the connection it was sent on, from 1, unique in the client's life; 0 if
    // it was not sent.
    std::uint64_t connection = 0;
    // True if no earlier call was sent on that connection.
    bool connection_was_new = false;
    // From start() to the end.
    base::duration elapsed{};

    // The header's value; nothing if the response has no such header.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::nullopt : std::optional(found->second);
    }
};

} // namespace curranthoist::http
