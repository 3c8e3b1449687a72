#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <string_view>
#include <variant>

namespace curranthoist::admission {

// Start the call now. `fresh`: on a new connection (CURLOPT_FRESH_CONNECT), for which
// on_connection_opened() is reported. Otherwise an idle connection is there to be reused;
// if libcurl opens a new one after all, the report of that is accepted too. The call ends
// at `deadline`, which may be earlier than the one asked for.
struct start_call
{
    std::uint64_t call = 0;
    bool fresh = false;
    base::instant deadline;
};

enum class reject_reason : std::uint8_t
{
    // The queue, the pace or the connections leave no start before the deadline.
    shed,
    // The fence isn't this owner's, or the target is being released.
    not_owner,
    // The VM lease doesn't cover the request.
    no_lease,
    // The target is draining or unreachable.
    away
};

// The request was not started and never will be: it is certain that it did not run.
struct reject_call
{
    std::uint64_t call = 0;
    reject_reason reason = reject_reason::shed;
    // A sentence for the log and the caller.
    std::string_view text;
};

// Cancel the started call, which closes its connection. `timed_out` tells whether
// somebody may still wait for it: answer them "timed out", outcome unknown. No result is
// reported for this call afterwards.
struct cancel_call
{
    std::uint64_t call = 0;
    bool timed_out = false;
};

// Close all (idle) connections; each is reported by on_connection_closed().
struct close_connections
{};

// The release is complete: nothing runs and no connection is open. Report it to control.
struct target_released
{
    std::uint64_t pace_milli_per_s = 0;
    bool warm = false;
};

using target_action = std::variant<start_call, reject_call, cancel_call,
                                   close_connections, target_released>;

} // namespace curranthoist::admission
