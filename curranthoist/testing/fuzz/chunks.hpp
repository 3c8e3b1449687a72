#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace curranthoist::testing::fuzz {

// One fuzz input holds several messages: each follows its length in 4 bytes, little
// endian, as in a frame. A length beyond the end of the input takes the rest, so that
// every input can be split. The chunks are copies, because a FlatBuffer must be aligned.
std::vector<std::vector<std::uint8_t>> split_chunks(std::span<const std::uint8_t> input);

// Appends one chunk with its length to an input.
void add_chunk(std::vector<std::uint8_t>& input, std::span<const std::uint8_t> chunk);

} // namespace curranthoist::testing::fuzz
