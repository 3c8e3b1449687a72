#pragma once

#include "curranthoist/ctl/exit_code.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::ctl {

// Reads the metrics of all processes at the addresses and hands them over one by one. A
// process that can't be read is reported, and the others are read.
exit_code read_metrics(const std::vector<std::string>& addresses,
                       const std::function<void(std::string_view)>& on_metrics);

} // namespace curranthoist::ctl
