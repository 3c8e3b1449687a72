#pragma once

#include "curranthoist/deployment/entry_change.hpp"

#include <vector>

namespace curranthoist::deployment {

struct configuration;

// What differs between two configurations, by the names of routes, services and teams.
// Routes of one name are compared in their order. The version is left out, and so are
// keys, of which only the numbers are told.
std::vector<entry_change> compare_configurations(const configuration& before,
                                                 const configuration& after);

} // namespace curranthoist::deployment
