#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <memory>
#include <string>

namespace curranthoist::entry {

// One part of a query, or one order, for one target.
struct target_request
{
    bool order = false;
    base::service_id service;
    // The Request-Id that the target sees: unique for each send of a part; the caller's
    // own id for an order.
    std::string key;
    base::snapshot_version snapshot;
    base::shard_number shard;
    base::fence fence;
    // By this VM's monotonic clock.
    base::instant deadline;
    std::shared_ptr<const std::string> body;
};

} // namespace curranthoist::entry
