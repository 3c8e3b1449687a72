#pragma once

#include <cstdint>

namespace curranthoist::forwarding {

// What one send of a request to a target came to.
enum class answer_kind : std::uint8_t
{
    // A whole, signed response of success.
    success,
    // A whole, signed response of another status; the target has run the request.
    failure,
    // Certainly not run: the target says so.
    not_run,
    // Certainly not run: another target has the address, or this one is stopping.
    wrong_target,
    // Certainly not run: no byte left, because there is no connection.
    unreachable,
    // It left and no whole, valid response came: it may have run.
    unknown,
    // This process ended the call; it may have run.
    cancelled,
};

// True if the target certainly has not run the request and never will.
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
