#pragma once

#include "curranthoist/deployment/configuration.hpp"

#include <string_view>

namespace curranthoist::platform {

// Decodes the body of an operator's complete configuration. Throws base::findings_error
// with every mistake: text that can't be read in full, a route with an unknown service,
// two routes with one host and prefix, weights that add up to 0, a time limit of 0.
//
// Fields that this deployment does not explain are ignored.
deployment::configuration decode_configuration(std::string_view document);

} // namespace curranthoist::platform
