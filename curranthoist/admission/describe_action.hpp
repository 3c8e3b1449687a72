#pragma once

#include "curranthoist/admission/target_action.hpp"

#include <string>

namespace curranthoist::admission {

// Returns a sentence for the log without a prefix and a final period, such as "rejected
// call 17: the VM lease has ended". The shell adds the target and the request id.
std::string describe(const target_action& action);

} // namespace curranthoist::admission
