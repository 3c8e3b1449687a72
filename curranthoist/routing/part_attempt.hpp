#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/routing/replica.hpp"

#include <cstdint>

namespace curranthoist::routing {

// One send of a part. Each send has its own number in `part`, so that a reply cannot be
// mistaken for the reply to another send.
struct part_attempt
{
    std::uint64_t part = 0;
    std::uint32_t shard = 0;
    replica where;
    base::instant sent;
};

} // namespace curranthoist::routing
