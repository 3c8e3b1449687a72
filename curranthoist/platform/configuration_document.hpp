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
// Fields that this deployment does not explain are ignored.
deployment::configuration decode_configuration(std::string_view document);
// Its teams alone; cheap if it has none.
std::vector<deployment::team> decode_teams(std::string_view document);

} // namespace curranthoist::platform
