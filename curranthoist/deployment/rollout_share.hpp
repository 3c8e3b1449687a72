#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <string>

namespace curranthoist::deployment {

// The part of a service's requests that may go to the version of its running roll-out.
struct rollout_share
{
    base::service_id service;
    std::string target_version;
    // From 0 to 1.
    double share = 0.0;
};

} // namespace curranthoist::deployment
