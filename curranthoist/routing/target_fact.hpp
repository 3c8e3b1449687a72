#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace curranthoist::routing {

// A snapshot version that a target holds, and the one of its `shards` shards that the
// target serves.
struct held_snapshot
{
    base::snapshot_version version;
    base::shard_number shard;
    std::uint32_t shards = 0;

    bool operator==(const held_snapshot&) const = default;
};

// The state of a target that its owner reported last. The report may be out of date.
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
