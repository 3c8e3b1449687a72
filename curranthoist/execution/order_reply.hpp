#pragma once

#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <string>

namespace curranthoist::execution {

// An owner's reply to the send with the number `send`. `not_run` is true only if the
// order certainly didn't run. `body` is the target's response.
struct order_reply
{
    std::uint64_t send = 0;
    wire::part_status status = wire::part_status::failed;
    bool not_run = false;
    std::string body;
};

} // namespace curranthoist::execution
