#include "curranthoist/wire/packed_text.hpp"

#include "curranthoist/wire/frame_codec.hpp"

#include <stdexcept>
#include <utility>

#include <zlib.h>

namespace curranthoist::wire {

namespace {

// Most of the gain for a third of the default level's time.
constexpr int level = 3;
constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_per_byte = 8;

} // namespace

std::vector<std::uint8_t> pack_text(std::string_view text)
{
    if (text.size() > max_unpacked_bytes) {
        throw std::length_error("text is too long to be packed");
    }
    uLongf size = compressBound(text.size());
    std::vector<std::uint8_t> packed(length_bytes + size);
    for (std::size_t i = 0; i < length_bytes; ++i) {
        packed[i] = static_cast<std::uint8_t>(text.size() >> (bits_per_byte * i));
    }
    if (compress2(packed.data() + length_bytes, &size,
                  reinterpret_cast<const Bytef*>(text.data()), text.size(),
                  level) != Z_OK) {
        throw std::runtime_error("zlib can't compress");
    }
    packed.resize(length_bytes + size);
    return packed;
}

std::vector<std::uint8_t> pack_envelope(std::span<const std::uint8_t> frame)
{
    const auto inner = frame.subspan(frame_prefix_bytes);
    return pack_text(
        std::string_view(reinterpret_cast<const char*>(inner.data()), inner.size()));
}

std::optional<std::string> unpack_text(std::span<const std::uint8_t> packed)
{
    if (packed.size() < length_bytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        length |= static_cast<std::size_t>(packed[i]) << (bits_per_byte * i);
    }
    if (length > max_unpacked_bytes) {
        return std::nullopt;
    }
    std::string text(length, '\0');
    uLongf size = length;
    const auto data = packed.subspan(length_bytes);
    const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                  data.data(), data.size());
    return result == Z_OK && size == length ? std::optional(std::move(text))
                                            : std::nullopt;
}

} // namespace curranthoist::wire
