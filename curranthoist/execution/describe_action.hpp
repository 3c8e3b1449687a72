#pragma once

#include "curranthoist/execution/order_action.hpp"

#include <string>

namespace curranthoist::execution {

// One sentence for the log, without prefix and full stop, such as "recorded the outcome
// as not run". The shell adds the request id.
std::string describe(const order_action& action);

} // namespace curranthoist::execution
