#pragma once

#include "curranthoist/ctl/exit_code.hpp"
#include "curranthoist/ctl/options.hpp"

namespace curranthoist::ctl {

// The subcommand `check`: prints what is wrong in a configuration document and what it
// would change. Warnings leave the exit code 0.
exit_code check(const options& chosen);

} // namespace curranthoist::ctl
