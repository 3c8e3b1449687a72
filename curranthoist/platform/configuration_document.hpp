#pragma once

#include "curranthoist/deployment/configuration.hpp"

#include <string_view>
#include <vector>

namespace curranthoist::platform {

// Decodes the body of an operator's complete configuration. Throws base::findings_error
// with every mistake: text that can't be read in full, a route with an unknown service,
// two routes with one host and prefix, weights that add up to 0, a time limit of 0, two
// teams with one key.
//
// A document with an empty list of teams requires keys and knows none; only one without
// the field requires none. Fields that this deployment does not explain are ignored.
deployment::configuration decode_configuration(std::string_view document);
// Its teams alone, none if it has no list of teams; cheap then.
std::vector<deployment::team> decode_teams(std::string_view document);

} // namespace curranthoist::platform
