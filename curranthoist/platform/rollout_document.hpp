#pragma once

#include "curranthoist/deployment/rollout.hpp"

#include <string>
#include <string_view>

namespace curranthoist::platform {

// Reads an operator's order of a roll-out: its service, version and duration. Throws
// base::findings_error with every mistake.
deployment::rollout decode_rollout_order(std::string_view body);
// The state of a roll-out as operators read it.
std::string encode_rollout_state(const deployment::rollout& value);

} // namespace curranthoist::platform
