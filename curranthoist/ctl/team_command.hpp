#pragma once

#include "curranthoist/ctl/exit_code.hpp"
#include "curranthoist/ctl/options.hpp"

namespace curranthoist::ctl {

// Reads the metrics of all named processes and prints what they tell about the team. A
// process that can't be read is reported, and the rest is printed.
exit_code show_team(const options& chosen);

} // namespace curranthoist::ctl
