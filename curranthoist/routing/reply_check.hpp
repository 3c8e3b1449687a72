#pragma once

#include "curranthoist/routing/part_attempt.hpp"
#include "curranthoist/routing/part_reply.hpp"

#include <concepts>

namespace curranthoist::routing {

// The values that a reply must match: the query, its snapshot, and the number of shards
// in that snapshot.
struct expected_reply
{
    std::uint64_t query = 0;
    base::snapshot_version snapshot;
    std::uint32_t shards = 0;
};

// Decides whether the content of a reply belongs to the attempt that the reply names.
template <class Check>
concept reply_check = requires(const Check& check, const expected_reply& expected,
                               const part_attempt& attempt, const part_reply& reply)
{
    {
        check.matches(expected, attempt, reply)
        } -> std::same_as<bool>;
    // Whether a reply to a part without an open attempt may still be counted. Only a
    // deliberately broken check in a test returns true.
    {
        check.accepts_late(reply)
        } -> std::same_as<bool>;
};

// The production check: the query, the part, the snapshot, the shard and the number of
// shards must match.
struct strict_reply_check
{
    [[nodiscard]] bool matches(const expected_reply& expected,
                               const part_attempt& attempt, const part_reply& reply) const
    {
        return reply.query == expected.query && reply.part == attempt.part &&
               reply.snapshot == expected.snapshot && reply.shards == expected.shards &&
               reply.shard.value() == attempt.shard;
    }
    [[nodiscard]] bool accepts_late(const part_reply&) const { return false; }
};

} // namespace curranthoist::routing
