#pragma once

#include "curranthoist/routing/part_attempt.hpp"
#include "curranthoist/routing/part_reply.hpp"

#include <concepts>

namespace curranthoist::routing {

// What a reply is compared with: the query, and the map of its snapshot.
struct expected_reply
{
    std::uint64_t query = 0;
    base::snapshot_version snapshot;
    std::uint32_t shards = 0;
};

// Whether the content of a reply belongs to the attempt that it names.
template <class Check>
concept reply_check = requires(const Check& check, const expected_reply& expected,
                               const part_attempt& attempt, const part_reply& reply)
{
    {
        check.matches(expected, attempt, reply)
        } -> std::same_as<bool>;
    // Whether a reply to a part without an open attempt may still be counted. Only a
    // deliberately broken check in a test says yes.
    {
        check.counts_late(reply)
        } -> std::same_as<bool>;
};

// The check in use: query, snapshot, shard and the map's size must agree.
struct strict_reply_check
{
    [[nodiscard]] bool matches(const expected_reply& expected,
                               const part_attempt& attempt, const part_reply& reply) const
    {
        return reply.query == expected.query && reply.part == attempt.part &&
               reply.snapshot == expected.snapshot && reply.shards == expected.shards &&
               reply.shard.value() == attempt.shard;
    }
    [[nodiscard]] bool counts_late(const part_reply&) const { return false; }
};

} // namespace curranthoist::routing
