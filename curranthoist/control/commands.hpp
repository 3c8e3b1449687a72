#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/generated/commands_generated.h"

#include <cstdint>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace curranthoist::control {

namespace internal {

std::vector<std::uint8_t> pack_command(const encoded::command_message& command);

} // namespace internal

// Encodes one of the `*_message` structs of commands.fbs as a command made at
// `wall_time`.
template <class Body>
std::vector<std::uint8_t> encode_command(base::instant wall_time, Body body)
{
    encoded::command_message command;
    command.wall_time_ms = static_cast<std::uint64_t>(wall_time.count());
    command.body.Set(std::move(body));
    return internal::pack_command(command);
}

// The latest wall time, in milliseconds, that a command or a state snapshot may carry:
// the year 4199. Lengths of time can be added to it without overflow.
constexpr std::uint64_t max_wall_time_ms = std::uint64_t{1} << 46;

// The command in `bytes`, or nullptr if they fail verification, hold none, or hold a time
// or an enumerator out of range.
std::unique_ptr<encoded::command_message>
decode_command(std::span<const std::uint8_t> bytes);

} // namespace curranthoist::control
