#pragma once

#include "curranthoist/consensus/messages.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace curranthoist::consensus {

// The frame of a message between members.
std::vector<std::uint8_t> to_frame(const message_body& message);

// The message in a verified envelope; nothing if it is of another kind or lacks a sender.
std::optional<message_body> from_envelope(const wire::envelope& envelope);

// True for messages that answer another one; they go back on its connection.
bool is_reply(const message_body& message);

} // namespace curranthoist::consensus
