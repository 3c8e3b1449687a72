#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace curranthoist::forwarding {

// Number of one send, unique in its request.
using call_id = std::uint32_t;

// Sends the request to a target.
struct send_action
{
    call_id call = 0;
    std::size_t shard = 0;
    base::target_id target;
    // Why it is sent: "first", "retry" or "hedge".
    const char* reason = "first";
};

// Ends a call whose answer is no longer wanted.
struct cancel_action
{
    call_id call = 0;
};

// How a request ends for its caller.
enum class run_outcome : std::uint8_t
{
    // The target's response, or the gathered one with every shard.
    complete,
    // A gathered response without some shards.
    partial,
    // The response of another status that a target gave.
    target_failure,
    // Nothing has run and nothing will.
    refused,
    // It may have run.
    failed,
    // Its time is over; it may have run.
    timed_out,
};

constexpr const char* outcome_name(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::complete:
        return "complete";
    case run_outcome::partial:
        return "partial";
    case run_outcome::target_failure:
        return "target_failure";
    case run_outcome::refused:
        return "refused";
    case run_outcome::failed:
        return "failed";
    case run_outcome::timed_out:
        return "timed_out";
    }
    return "";
}

// Answers the caller. `answers` are the calls whose responses make up the answer.
struct finish_action
{
    run_outcome outcome = run_outcome::failed;
    std::vector<call_id> answers;
    std::size_t missing = 0;
};

using run_action = std::variant<send_action, cancel_action, finish_action>;

} // namespace curranthoist::forwarding
