#pragma once

#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <string>

namespace curranthoist::execution {

// Control's reply to the claim of a request id. `body` holds the stored response if
// `answer` is `ran`: an earlier attempt of the request ran the order.
struct claim_reply
{
    std::uint64_t attempt = 0;
    wire::claim_answer answer = wire::claim_answer::unavailable;
    std::string body;
};

} // namespace curranthoist::execution
