#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace curranthoist::routing {

// One snapshot version that a target holds, and which of its `shards` shards.
struct held_snapshot
{
    base::snapshot_version version;
    base::shard_number shard;
    std::uint32_t shards = 0;

    bool operator==(const held_snapshot&) const = default;
};

// What a target's owner last reported about it; it lags.
struct target_fact
{
    base::boot_id boot;
    bool reachable = true;
    bool draining = false;
    bool cold = false;
    std::vector<held_snapshot> snapshots;

    bool operator==(const target_fact&) const = default;
};

} // namespace curranthoist::routing
