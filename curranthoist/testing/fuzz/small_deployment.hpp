#pragma once

#include "curranthoist/control/commands.hpp"

#include <cstdint>
#include <vector>

namespace curranthoist::testing::fuzz {

// The wall time of the deployment's commands, in milliseconds.
constexpr std::int64_t deployment_time_ms = 1'700'000'000'000;

// The commands that build a deployment of one zone, one query and one order service with
// two targets each, and two VMs "vm1" and "vm2", of which vm1 has an open process with
// incarnation 7 that owns target "q1" and has one claim.
std::vector<std::vector<std::uint8_t>> small_deployment();

} // namespace curranthoist::testing::fuzz
