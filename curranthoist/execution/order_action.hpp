#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/routing/replica.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace curranthoist::execution {

// Asks control to grant the claim of the request id. If no control session is open, the
// shell reports a claim_reply with the answer `unavailable`; if the session breaks before
// the reply arrives, the shell calls on_claim_lost().
struct claim_order
{
    std::uint64_t attempt = 0;
};

// Sends one order_request through the replica's owner, with `send` as its query id. The
// shell reports the owner's reply with the same number, or the loss of the connection to
// the owner. The target must respond by `deadline`.
struct send_order
{
    std::uint64_t send = 0;
    routing::replica where;
    base::instant deadline;
};

// Sends the outcome of the granted claim to control. `body` is the target's response if
// the order ran. The action is repeated until on_outcome_recorded() is called or the
// attempt gives up.
struct record_outcome
{
    std::uint64_t attempt = 0;
    wire::claim_result result = wire::claim_result::unknown;
    std::string body;
};

enum class order_outcome : std::uint8_t
{
    ran,
    not_run,
    unknown
};

// Answers the caller; issued at most once per order. `text` explains the outcome unless
// the order ran; `body` is the target's response if it ran.
struct answer_order
{
    order_outcome outcome = order_outcome::unknown;
    std::string_view text;
    std::string body;
};

using order_action = std::variant<claim_order, send_order, record_outcome, answer_order>;

} // namespace curranthoist::execution
