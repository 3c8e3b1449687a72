#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <string>

namespace curranthoist::routing {

// An owner's reply to one part. `not_run` is true only if it is certain that the target
// did not run the part.
struct part_reply
{
    std::uint64_t query = 0;
    std::uint64_t part = 0;
    wire::part_status status = wire::part_status::failed;
    bool not_run = false;
    base::snapshot_version snapshot;
    base::shard_number shard;
    std::uint32_t shards = 0;
    std::uint32_t queue_length = 0;
    base::duration service_time;
    std::string body;
};

} // namespace curranthoist::routing
