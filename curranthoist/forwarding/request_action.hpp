#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace curranthoist::forwarding {

// Identifies one send of a request. Unique within the request.
using call_id = std::uint32_t;

// Sends the request to a target.
struct send_action
{
    call_id call = 0;
    std::size_t shard = 0;
    base::target_id target;
    // Reason for the send: "first", "retry" or "hedge".
    const char* reason = "first";

    [[nodiscard]] bool is_first() const { return std::string_view(reason) == "first"; }
};

// Sends the request to one target of each of these shards through a gatherer, which
// chooses the targets. `calls` and `shards` are in the same order. `separate` asks for a
// report of its own for each part: another answer for one of the shards may come, and the
// records of a merged report belong to all of its parts.
struct gather_action
{
    base::vm_id gatherer;
    std::vector<call_id> calls;
    std::vector<std::size_t> shards;
    bool separate = false;
};

// Cancels a call whose response is no longer needed.
struct cancel_action
{
    call_id call = 0;
};

// Takes back a call if no byte of it has been sent, because no target can serve it in the
// time that is left. It ends as withdrawn; a call that was sent goes on.
struct recall_action
{
    call_id call = 0;
};

// Outcome of a request as its caller sees it.
enum class final_outcome : std::uint8_t
{
    // The target's response, or a gathered response that contains every shard.
    complete,
    // A gathered response that lacks some shards.
    partial,
    // A response with a status other than success.
    target_failure,
    // No target has run the request, and none will.
    refused,
    // The request may have run.
    failed,
    // The deadline has passed. The request may have run.
    timed_out,
};

constexpr const char* outcome_name(final_outcome outcome)
{
    switch (outcome) {
    case final_outcome::complete:
        return "complete";
    case final_outcome::partial:
        return "partial";
    case final_outcome::target_failure:
        return "target_failure";
    case final_outcome::refused:
        return "refused";
    case final_outcome::failed:
        return "failed";
    case final_outcome::timed_out:
        return "timed_out";
    }
    return "";
}

// Responds to the caller. `answers` lists the calls whose responses make up the response,
// and `missing` is the number of shards without one.
struct finish_action
{
    final_outcome outcome = final_outcome::failed;
    std::vector<call_id> answers;
    std::size_t missing = 0;
};

using request_action =
    std::variant<send_action, gather_action, cancel_action, recall_action, finish_action>;

} // namespace curranthoist::forwarding
