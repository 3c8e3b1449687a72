#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::admission {

// How one request to a target ended, as far as the target's admission is concerned.
enum class call_end : std::uint8_t
{
    // A whole, well-formed response (200).
    ok,
    // 503 with Not-Run: shed or draining.
    shed,
    // 504 with Not-Run: the deadline passed at the target before the request ran.
    expired,
    // 410: the target doesn't hold the snapshot.
    snapshot_gone,
    // The connection couldn't be opened; no byte of the request has left.
    refused,
    // An open connection broke before the response was complete.
    reset,
    // Any other status or a malformed response.
    failed,
    // The time limit of the call passed without a complete response.
    timed_out
};

struct call_result
{
    call_end end = call_end::failed;
    // Of the response; empty without one.
    base::boot_id boot;
    // From the start of the call to its end.
    base::duration service_time;
};

} // namespace curranthoist::admission
