#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/routing/part_attempt.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace curranthoist::routing {

// Sends one parts_request to an owner VM. Parts that arrive there after `deadline` are of
// no use. The time left in the message is the time until `deadline`.
struct send_parts
{
    base::vm_id owner;
    base::snapshot_version snapshot;
    base::instant deadline;
    std::vector<part_attempt> parts;
};

struct cancel_part
{
    base::vm_id owner;
    std::uint64_t part = 0;
};

struct shard_result
{
    base::shard_number shard;
    std::string body;
};

struct missing_shard
{
    base::shard_number shard;
    std::string reason;
};

// The response to the caller, sent once per query.
struct respond
{
    // False if the query is refused with `text`; `not_run` then says whether it is
    // certain that no target ran any part.
    bool answered = false;
    bool not_run = false;
    std::string text;
    base::snapshot_version snapshot;
    // The number of shards in the snapshot. `results` and `missing` together contain each
    // shard once, and both are sorted by shard number.
    std::uint32_t total = 0;
    std::vector<shard_result> results;
    std::vector<missing_shard> missing;

    [[nodiscard]] bool complete() const { return answered && missing.empty(); }
};

using scatter_action = std::variant<send_parts, cancel_part, respond>;

} // namespace curranthoist::routing
