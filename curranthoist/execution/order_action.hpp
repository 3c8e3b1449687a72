#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/routing/replica.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace curranthoist::execution {

// Ask control for the request id. A session that is not open is reported as a reply
// `unavailable`; one that breaks before the reply by on_claim_lost().
struct claim_order
{
    std::uint64_t attempt = 0;
};

// Send one order_request through the replica's owner, with `send` as its query id. Report
// its reply, or the loss of the owner's connection, with the same number.
struct send_order
{
    std::uint64_t send = 0;
    routing::replica where;
    base::instant deadline;
};

// Tell control what became of the granted claim. Repeated until on_outcome_recorded() is
// called.
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

// The answer to the caller, once per order. `text` explains a refusal, `body` is the
// target's response.
struct answer_order
{
    order_outcome outcome = order_outcome::unknown;
    std::string_view text;
    std::string body;
};

using order_action = std::variant<claim_order, send_order, record_outcome, answer_order>;

} // namespace curranthoist::execution
