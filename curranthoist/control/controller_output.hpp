#pragma once

#include "curranthoist/wire/frame_codec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::control {

// The caller's number for one control session (one connection of one VM).
using session_number = std::uint64_t;

// A frame for one session.
struct session_message
{
    session_number session = 0;
    std::vector<std::uint8_t> frame;
};

// What the controller wants done after an event. The caller does it and clears the lists.
struct controller_output
{
    // Commands to propose to the replicated log.
    std::vector<std::vector<std::uint8_t>> proposals;
    // If present: start a round that confirms leadership with a quorum, and report it by
    // on_read_confirmed() with this number.
    std::optional<std::uint64_t> confirm_read;
    std::vector<session_message> messages;
    // One sentence for each lease and placement decision.
    std::vector<std::string> log_lines;

    template <class Message>
    void send(session_number session, Message message)
    {
        messages.push_back({session, wire::encode_frame(std::move(message))});
    }
};

} // namespace curranthoist::control
