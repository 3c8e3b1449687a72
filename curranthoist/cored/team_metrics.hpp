#pragma once

#include "curranthoist/cored/team_standing.hpp"

#include <span>
#include <string>

namespace curranthoist::cored {

// The standings of teams as metrics in the Prometheus text format. Numbers of requests
// are in thousandths, as gauges are whole numbers.
std::string team_metrics(std::span<const team_standing> standings);

} // namespace curranthoist::cored
