#pragma once

#include "curranthoist/routing/replica.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace curranthoist::routing {

// The shards of one snapshot, each with its usable targets. A shard without usable
// targets has an empty entry, so that coverage counts the shard as missing.
struct snapshot_view
{
    std::vector<std::vector<replica>> shards;

    // Returns the number of shards that have at least one usable target.
    [[nodiscard]] std::size_t usable_shards() const;

    bool operator==(const snapshot_view&) const = default;
};

// The snapshots and targets that requests to one service can be sent to.
struct service_map
{
    std::map<base::snapshot_version, snapshot_view> snapshots;
    // All usable targets of the service, for an order service.
    std::vector<replica> targets;

    bool operator==(const service_map&) const = default;
};

} // namespace curranthoist::routing
