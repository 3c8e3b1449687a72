#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <string>

namespace curranthoist::entry {

// What became of one target_request. `not_run` is true only if it is certain that the
// target did not run it.
struct target_answer
{
    wire::part_status status = wire::part_status::failed;
    bool not_run = false;
    base::boot_id boot;
    base::snapshot_version snapshot;
    base::shard_number shard;
    // Shards in the snapshot's map; 0 if this owner doesn't know.
    std::uint32_t shards = 0;
    std::uint32_t queue_length = 0;
    base::duration service_time;
    std::string body;
};

} // namespace curranthoist::entry
