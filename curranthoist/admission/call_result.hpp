#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::admission {

// How one request to a target ended, as the admission control of the target sees it.
enum class call_end : std::uint8_t
{
    // A complete, well-formed response (200).
    ok,
    // 503 with Not-Run: the target shed the request or is draining.
    shed,
    // 504 with Not-Run: the deadline passed at the target before the request ran.
    expired,
    // 410: the target doesn't hold the requested snapshot.
    snapshot_gone,
    // The connection couldn't be opened; no byte of the request was sent.
    refused,
    // An open connection broke before the response was complete.
    reset,
    // Any other status or a malformed response.
    failed,
    // The timeout of the call expired without a complete response.
    timed_out
};

struct call_result
{
    call_end end = call_end::failed;
    // The boot id in the response; empty without a response.
    base::boot_id boot;
    // The time from the start of the call to its end.
    base::duration service_time;
};

} // namespace curranthoist::admission
