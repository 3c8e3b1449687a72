#pragma once

#include "curranthoist/routing/scatter_action.hpp"

#include <string>

namespace curranthoist::routing {

// Returns a one-sentence description for the log without prefix and full stop, such as
// "sent 3 parts of snapshot 41 to vm-2". The shell adds the request id.
std::string describe(const scatter_action& action);

} // namespace curranthoist::routing
