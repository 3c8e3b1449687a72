#include "curranthoist/control/intent.hpp"

#include <xxhash.h>

#include <array>

namespace curranthoist::control {

std::string intent_name(intent_kind kind)
{
    return encoded::EnumNameintent_kind(kind);
}

std::string subject_field(intent_kind kind)
{
    switch (kind) {
    case intent_kind::zone_out:
    case intent_kind::zone_in:
    case intent_kind::add_zone:
        return "zone";
    case intent_kind::target_out:
    case intent_kind::target_in:
        return "target";
    case intent_kind::add_vm:
    case intent_kind::retire_vm:
        return "vm";
    case intent_kind::replace_member:
        return "member";
    default:
        return "service";
    }
}

std::string intent_digest(const intent& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(encoded::intent::Pack(builder, &value));
    const XXH128_hash_t hash =
        XXH3_128bits(builder.GetBufferPointer(), builder.GetSize());
    std::string text;
    for (const std::uint64_t half : {hash.high64, hash.low64}) {
        constexpr int bits_per_digit = 4;
        constexpr int bits = 64;
        for (int shift = bits - bits_per_digit; shift >= 0; shift -= bits_per_digit) {
            text += "0123456789abcdef"[(half >> shift) & 0xFU];
        }
    }
    return text;
}

} // namespace curranthoist::control
