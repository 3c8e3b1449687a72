#include "curranthoist/wire/frame_codec.hpp"

#include <stdexcept>

namespace curranthoist::wire {

namespace {

// Deeper or larger tables than any message of the schema has at the frame's limit.
constexpr flatbuffers::uoffset_t max_table_depth = 8;
constexpr flatbuffers::uoffset_t max_tables = 1'000'000;
constexpr unsigned bits_per_byte = 8;

} // namespace

namespace internal {

std::vector<std::uint8_t> encode_envelope(const envelope_message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Createenvelope(builder, &message));
    const std::size_t size = builder.GetSize();
    if (size > max_envelope_bytes) {
        throw std::length_error("message exceeds the frame limit");
    }
    std::vector<std::uint8_t> frame;
    frame.reserve(frame_prefix_bytes + size);
    for (unsigned i = 0; i < frame_prefix_bytes; ++i) {
        frame.push_back(static_cast<std::uint8_t>(size >> (bits_per_byte * i)));
    }
    frame.insert(frame.end(), builder.GetBufferPointer(),
                 builder.GetBufferPointer() + size);
    return frame;
}

} // namespace internal

const envelope* verified_envelope(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_table_depth,
                                   max_tables);
    if (!VerifyenvelopeBuffer(verifier)) {
        return nullptr;
    }
    const envelope* result = Getenvelope(bytes.data());
    const bool known = result->body_type() > message::NONE &&
                       result->body_type() <= message::MAX && result->body() != nullptr;
    return known ? result : nullptr;
}

std::size_t frame_length(std::span<const std::uint8_t> bytes)
{
    std::size_t length = 0;
    for (unsigned i = 0; i < frame_prefix_bytes; ++i) {
        length |= static_cast<std::size_t>(bytes[i]) << (bits_per_byte * i);
    }
    return length;
}

} // namespace curranthoist::wire
