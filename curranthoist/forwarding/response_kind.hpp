#pragma once

#include <cstdint>

namespace curranthoist::forwarding {

// Result of sending a request to a target once.
enum class response_kind : std::uint8_t
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
    // Certainly not run: the request was taken back before a byte was sent, because the
    // target must get no more requests.
    withdrawn,
    // The request was sent and no complete, valid response arrived. The target may have
    // run it.
    unknown,
    // This process cancelled the call. The target may have run the request.
    cancelled,
};

// Returns true if no byte of the request was sent to the target.
constexpr bool was_not_sent(response_kind kind)
{
    return kind == response_kind::unreachable || kind == response_kind::withdrawn;
}

// Returns true if the target certainly has not run the request and never will.
constexpr bool certainly_not_run(response_kind kind)
{
    return kind == response_kind::not_run || kind == response_kind::wrong_target ||
           was_not_sent(kind);
}

constexpr const char* response_kind_name(response_kind kind)
{
    switch (kind) {
    case response_kind::success:
        return "success";
    case response_kind::failure:
        return "failure";
    case response_kind::not_run:
        return "not_run";
    case response_kind::wrong_target:
        return "wrong_target";
    case response_kind::unreachable:
        return "unreachable";
    case response_kind::withdrawn:
        return "withdrawn";
    case response_kind::unknown:
        return "unknown";
    case response_kind::cancelled:
        return "cancelled";
    }
    return "";
}

} // namespace curranthoist::forwarding
