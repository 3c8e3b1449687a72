#pragma once

#include "curranthoist/routing/part_reply.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

namespace curranthoist::entry {

// A peer's reply to one part as the query's decisions take it.
routing::part_reply from_message(const wire::part_reply_message& message);

} // namespace curranthoist::entry
