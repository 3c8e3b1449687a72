#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/routing/part_attempt.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace curranthoist::routing {

// Send one parts_request to an owner VM. Parts that arrive there after `deadline` are of
// no use; the message's time left counts to it.
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

// The answer to the caller, once per query.
struct respond
{
    // False: a refusal with `text`; then `not_run` tells whether it is certain that no
    // target ran any part.
    bool answered = false;
    bool not_run = false;
    std::string text;
    base::snapshot_version snapshot;
    // Shards of the snapshot's own map; results and missing together name each once, both
    // in the order of the shards.
    std::uint32_t total = 0;
    std::vector<shard_result> results;
    std::vector<missing_shard> missing;

    [[nodiscard]] bool complete() const { return answered && missing.empty(); }
};

using scatter_action = std::variant<send_parts, cancel_part, respond>;

} // namespace curranthoist::routing
