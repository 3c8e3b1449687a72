#pragma once

#include <compare>
#include <cstdint>

namespace curranthoist::testing {

// One index snapshot that a stand-in target holds a shard of.
struct held_snapshot
{
    std::uint64_t version = 0;
    std::uint64_t shard = 0;
    std::uint64_t shards = 1;

    auto operator<=>(const held_snapshot&) const = default;
};

} // namespace curranthoist::testing
