#pragma once

#include "curranthoist/wire/frame_codec.hpp"

#include <cstddef>
#include <string>
#include <utility>

namespace curranthoist::testing {

// The start of a frame between processes that says to be of this size, all but its last
// bytes.
inline std::string short_frame(std::size_t size)
{
    constexpr std::size_t missing = 10;
    constexpr unsigned bits_per_byte = 8;
    std::string result;
    for (unsigned i = 0; i < wire::frame_prefix_bytes; ++i) {
        result += static_cast<char>(size >> (bits_per_byte * i));
    }
    return result + std::string(size - missing, 'f');
}

// The bytes of a message between processes.
template <class Message>
std::string frame_of(Message message)
{
    const auto bytes = wire::encode_frame(std::move(message));
    return {bytes.begin(), bytes.end()};
}

// The first frame of a connection that says to come from an entry process.
inline std::string hello_frame()
{
    wire::hello_message message;
    message.protocol = wire::protocol_version;
    message.sender = wire::role::entry;
    message.id = "greedy";
    return frame_of(std::move(message));
}

} // namespace curranthoist::testing
