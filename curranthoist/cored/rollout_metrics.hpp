#pragma once

#include "curranthoist/cored/rollout_standing.hpp"

#include <span>
#include <string>

namespace curranthoist::cored {

// The standings of running roll-outs as metrics in the Prometheus text format. Shares and
// evidence are in thousandths, as gauges are whole numbers.
std::string rollout_metrics(std::span<const rollout_standing> standings);

} // namespace curranthoist::cored
