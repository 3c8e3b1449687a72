#pragma once

#include "curranthoist/ctl/exit_code.hpp"
#include "curranthoist/ctl/options.hpp"

namespace curranthoist::ctl {

// Reads the metrics of the core processes named and prints what the leader judges the
// running roll-out of a service by. A process that can't be read is reported.
exit_code show_rollout(const options& chosen);

} // namespace curranthoist::ctl
