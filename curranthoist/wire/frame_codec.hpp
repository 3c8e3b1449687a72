#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace curranthoist::wire {

// The version of the protocol between the system's processes, sent in `hello`.
constexpr std::uint32_t protocol_version = 4;

// A process that accepts a connection closes it if no hello arrives within this time.
constexpr base::duration hello_limit{5000};

// A frame's length prefix: 4 bytes, little endian, the length of the envelope in bytes.
constexpr std::size_t frame_prefix_bytes = 4;

// The longest envelope that is sent or accepted, in bytes. It bounds what one connection
// can make a process allocate; a query's parts and a log snapshot's chunks are smaller.
constexpr std::size_t max_envelope_bytes = std::size_t{16} * 1024 * 1024;

// Packs one generated `*_message` struct into a frame with its length prefix. Throws
// std::length_error if the envelope is longer than max_envelope_bytes.
template <class Message>
std::vector<std::uint8_t> encode_frame(Message message);

// The envelope in `bytes` (without prefix) if it passes the verifier and carries a known
// message, otherwise nullptr. The result points into `bytes`.
const envelope* verified_envelope(std::span<const std::uint8_t> bytes);

// The length that the prefix in the first frame_prefix_bytes of `bytes` states.
std::size_t frame_length(std::span<const std::uint8_t> bytes);

namespace internal {

std::vector<std::uint8_t> encode_envelope(const envelope_message& message);

} // namespace internal

template <class Message>
std::vector<std::uint8_t> encode_frame(Message message)
{
    envelope_message whole;
    whole.body.Set(std::move(message));
    return internal::encode_envelope(whole);
}

} // namespace curranthoist::wire
