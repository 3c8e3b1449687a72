#pragma once

#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <string>

namespace curranthoist::execution {

// Control's answer to a claim, and the stored response if the order ran before.
struct claim_reply
{
    std::uint64_t attempt = 0;
    wire::claim_answer answer = wire::claim_answer::unavailable;
    std::string body;
};

} // namespace curranthoist::execution
