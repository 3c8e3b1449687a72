#pragma once

#include <concepts>
#include <cstdint>
#include <vector>

namespace curranthoist::controld {

// What the control process needs from the replicated log; consensus::replica_host has it.
// Callbacks run from the loop, never inside the call that registers them.
template <class Log>
concept replicated_log = requires(Log& log, const Log& constant,
                                  std::vector<std::uint8_t> command,
                                  typename Log::proposal_callback proposed,
                                  typename Log::read_callback confirmed)
{
    log.propose(command, proposed);
    log.confirm_read(confirmed);
    {
        constant.is_leader()
        } -> std::convertible_to<bool>;
};

} // namespace curranthoist::controld
