#pragma once

#include "curranthoist/routing/replica.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace curranthoist::routing {

// One snapshot's shards, each with its usable targets. A shard without any is empty, not
// absent, so that coverage counts it.
struct snapshot_view
{
    std::vector<std::vector<replica>> shards;

    // Shards with at least one usable target.
    [[nodiscard]] std::size_t usable_shards() const;

    bool operator==(const snapshot_view&) const = default;
};

// What one service's requests can be sent to.
struct service_map
{
    std::map<base::snapshot_version, snapshot_view> snapshots;
    // All usable targets, for an order service.
    std::vector<replica> targets;

    bool operator==(const service_map&) const = default;
};

} // namespace curranthoist::routing
