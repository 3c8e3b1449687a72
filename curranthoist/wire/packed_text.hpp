#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::wire {

// The longest text that unpack_text() returns, in bytes; it bounds what a damaged message
// can make a process allocate.
constexpr std::size_t max_unpacked_bytes = std::size_t{64} * 1024 * 1024;

// Compresses a text with zlib. A configuration names the same services for each route, so
// it shrinks to a tenth or less, and each change goes to every VM.
std::vector<std::uint8_t> pack_text(std::string_view text);

// The envelope of a frame, packed for a packed_envelope. Worth it for messages of some
// kilobytes that go to every VM.
std::vector<std::uint8_t> pack_envelope(std::span<const std::uint8_t> frame);

// The text of pack_text(); nothing if the bytes are damaged or the text is too long.
std::optional<std::string> unpack_text(std::span<const std::uint8_t> packed);

} // namespace curranthoist::wire
