#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <string_view>
#include <variant>

namespace curranthoist::admission {

// Tells the shell to start the call now. If `fresh` is true, the call uses a new
// connection (CURLOPT_FRESH_CONNECT), and the shell reports it by on_connection_opened().
// Otherwise an idle connection can be reused; if libcurl opens a new one nevertheless,
// the shell may report that too. The call ends at `deadline`, which may be earlier than
// the requested deadline.
struct start_call
{
    std::uint64_t call = 0;
    bool fresh = false;
    base::instant deadline;
};

enum class reject_reason : std::uint8_t
{
    // The queue, the warm-up rate or the connection limit allows no start before the
    // deadline.
    shed,
    // The fence belongs to another owner, or the target is being released.
    not_owner,
    // The VM lease doesn't cover the request.
    no_lease,
    // The target is draining or unreachable.
    away
};

// The request was not started and never will be, so it certainly did not run.
struct reject_call
{
    std::uint64_t call = 0;
    reject_reason reason = reject_reason::shed;
    // Error message for the log and the caller; refers to a string literal.
    std::string_view text;
};

// Tells the shell to cancel the started call, which closes its connection. If `timed_out`
// is true, a coordinator may still wait for the call, and the shell responds "timed out"
// with an unknown outcome. The shell reports no result for this call afterwards.
struct cancel_call
{
    std::uint64_t call = 0;
    bool timed_out = false;
};

// Tells the shell to close all connections, which are idle by then. The shell reports
// each closed connection by on_connection_closed().
struct close_connections
{};

// The release is complete: no call runs and no connection is open. The shell reports it
// to the control process.
struct target_released
{
    std::uint64_t pace_milli_per_s = 0;
    bool warm = false;
};

using target_action = std::variant<start_call, reject_call, cancel_call,
                                   close_connections, target_released>;

} // namespace curranthoist::admission
