#pragma once

#include "curranthoist/execution/order_action.hpp"

#include <string>

namespace curranthoist::execution {

// Returns a description of `action` for the log, without a prefix or a full stop, such as
// "recording the outcome as not run". The shell adds the request id.
std::string describe(const order_action& action);

} // namespace curranthoist::execution
