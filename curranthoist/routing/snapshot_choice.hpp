#pragma once

#include "curranthoist/routing/service_map.hpp"

#include <optional>
#include <span>

namespace curranthoist::routing {

// The newest snapshot of which every shard has a usable target; without one, that with
// the highest fraction of usable shards, the newest on a tie. Nothing if no snapshot
// outside `excluded` has a usable shard.
std::optional<base::snapshot_version>
choose_snapshot(const service_map& service,
                std::span<const base::snapshot_version> excluded);

} // namespace curranthoist::routing
