#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/internal/response_reader.hpp"

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace curranthoist::http::internal {

struct running_call;

// One socket of a target_client.
struct target_connection
{
    explicit target_connection(ev::loop_ref loop)
        : watcher(loop)
        , connect_timer(loop)
    {}
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    [[nodiscard]] bool has_sent_all() const
    {
        return sent == output.size() + output_rest.size();
    }

    int descriptor = -1;
    ev::io watcher;
    // Runs until it is connected.
    ev::timer connect_timer;
    // The client's number of this connection.
    std::uint64_t number = 0;
    bool connected = false;
    // Calls that were sent on it.
    std::uint64_t calls = 0;
    // True if a response on it named the request that it answered.
    bool names_requests = false;
    // The call that it serves; null while it is idle.
    running_call* call = nullptr;
    // The same call if nobody wants its result any more; otherwise null.
    std::unique_ptr<running_call> abandoned;
    // The head of the request, with its body if that is short; the rest, which belongs to
    // the call; and how much of both has left.
    std::string output;
    std::string_view output_rest;
    std::size_t sent = 0;
    std::optional<response_reader> reader;
    // While idle: the target closes it about then.
    base::instant usable_until = base::instant::max();
};

} // namespace curranthoist::http::internal
