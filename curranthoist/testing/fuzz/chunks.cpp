#include "curranthoist/testing/fuzz/chunks.hpp"

#include "curranthoist/wire/frame_codec.hpp"

#include <algorithm>

namespace curranthoist::testing::fuzz {

std::vector<std::vector<std::uint8_t>> split_chunks(std::span<const std::uint8_t> input)
{
    std::vector<std::vector<std::uint8_t>> chunks;
    while (input.size() > wire::frame_prefix_bytes) {
        const std::size_t stated = wire::frame_length(input);
        input = input.subspan(wire::frame_prefix_bytes);
        const std::size_t size = std::min(stated, input.size());
        chunks.emplace_back(input.begin(),
                            input.begin() + static_cast<std::ptrdiff_t>(size));
        input = input.subspan(size);
    }
    return chunks;
}

void add_chunk(std::vector<std::uint8_t>& input, std::span<const std::uint8_t> chunk)
{
    constexpr unsigned bits_per_byte = 8;
    for (unsigned i = 0; i < wire::frame_prefix_bytes; ++i) {
        input.push_back(static_cast<std::uint8_t>(chunk.size() >> (bits_per_byte * i)));
    }
    input.insert(input.end(), chunk.begin(), chunk.end());
}

} // namespace curranthoist::testing::fuzz
