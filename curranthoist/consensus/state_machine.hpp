#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <concepts>
#include <cstdint>
#include <span>
#include <vector>

namespace curranthoist::consensus {

// The state that committed commands build. All three functions must be deterministic, and
// restore(snapshot()) must give an equal state.
template <class Machine>
concept state_machine = requires(Machine& machine, const Machine& constant,
                                 base::log_index index,
                                 std::span<const std::uint8_t> bytes)
{
    // Called once for each command, in the order of the log.
    machine.apply(index, bytes);
    // The state after the last applied command.
    {
        constant.snapshot()
        } -> std::same_as<std::vector<std::uint8_t>>;
    // Replaces the state.
    machine.restore(bytes);
};

} // namespace curranthoist::consensus
