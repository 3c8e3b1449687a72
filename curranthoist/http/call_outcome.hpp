#pragma once

#include <string_view>

namespace curranthoist::http {

// How one call to a target ended.
enum class call_outcome
{
    // A whole response of any status.
    ok,
    // No connection could be made; nothing was sent.
    could_not_connect,
    // The time limit passed.
    timed_out,
    // The response ended early, or its length can't be verified.
    truncated,
    // The head is none of the protocol, or asks for what the client does not support.
    malformed,
    // The connection ended before a response began, or a kept one could not be used.
    connection_broken,
    // cancel() was called.
    cancelled,
    // The response's body is longer than the call allows.
    too_large,
    // The response names another Request-Id than the call.
    mismatched,
    // withdraw_unsent() was called before a byte was sent.
    withdrawn,
};

// The outcome in words, for log lines.
constexpr std::string_view outcome_text(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::ok:
        return "ok";
    case call_outcome::could_not_connect:
        return "could not connect";
    case call_outcome::timed_out:
        return "timed out";
    case call_outcome::truncated:
        return "truncated response";
    case call_outcome::malformed:
        return "malformed response";
    case call_outcome::connection_broken:
        return "connection broken";
    case call_outcome::cancelled:
        return "cancelled";
    case call_outcome::too_large:
        return "response too large";
    case call_outcome::mismatched:
        return "response to another request";
    case call_outcome::withdrawn:
        return "withdrawn before the send";
    }
    return "unknown";
}

} // namespace curranthoist::http
