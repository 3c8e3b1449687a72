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

// The command in `bytes`, or nullptr if they fail verification or hold none.
std::unique_ptr<encoded::command_message>
decode_command(std::span<const std::uint8_t> bytes);

} // namespace curranthoist::control
