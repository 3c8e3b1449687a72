#include "curranthoist/entry/part_reply_codec.hpp"

namespace curranthoist::entry {

routing::part_reply from_message(const wire::part_reply_message& message)
{
    routing::part_reply reply;
    reply.query = message.query_id;
    reply.part = message.part_id;
    reply.status = message.status;
    reply.not_run = message.not_run;
    reply.snapshot = base::snapshot_version(message.snapshot);
    reply.shard = base::shard_number(message.shard);
    reply.shards = message.shards;
    reply.queue_length = message.queue_length;
    reply.service_time =
        base::duration(static_cast<std::int64_t>(message.service_time_ms));
    reply.body.assign(message.body.begin(), message.body.end());
    return reply;
}

} // namespace curranthoist::entry
