#pragma once

#include <cstdint>

namespace curranthoist::forwarding {

// Result of sending a request to a target once.
enum class answer_kind : std::uint8_t
{
    // A complete, signed response with a success status.
    success,
    // A complete, signed response with another status. The target has run the request.
    failure,
    // Certainly not run: the target reports that it did not run the request.
    not_run,
    // Certainly not run: another target now has the address, or this target is stopping.
    wrong_target,
    // Certainly not run: no byte was sent, because there is no connection.
    unreachable,
    // The request was sent and no complete, valid response arrived. The target may have
    // run it.
    unknown,
    // This process cancelled the call. The target may have run the request.
    cancelled,
};

// Returns true if the target certainly has not run the request and never will.
constexpr bool certainly_not_run(answer_kind kind)
{
    return kind == answer_kind::not_run || kind == answer_kind::wrong_target ||
           kind == answer_kind::unreachable;
}

constexpr const char* answer_name(answer_kind kind)
{
    switch (kind) {
    case answer_kind::success:
        return "success";
    case answer_kind::failure:
        return "failure";
    case answer_kind::not_run:
        return "not_run";
    case answer_kind::wrong_target:
        return "wrong_target";
    case answer_kind::unreachable:
        return "unreachable";
    case answer_kind::unknown:
        return "unknown";
    case answer_kind::cancelled:
        return "cancelled";
    }
    return "";
}

} // namespace curranthoist::forwarding
