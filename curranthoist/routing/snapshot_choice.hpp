#pragma once

#include "curranthoist/routing/service_map.hpp"

#include <optional>
#include <span>

namespace curranthoist::routing {

// Returns the newest snapshot in which every shard has a usable target. If there is no
// such snapshot, returns the one with the highest fraction of usable shards, and the
// newest of these on a tie. Returns nullopt if no snapshot outside `excluded` has a
// usable shard.
std::optional<base::snapshot_version>
choose_snapshot(const service_map& service,
                std::span<const base::snapshot_version> excluded);

} // namespace curranthoist::routing
