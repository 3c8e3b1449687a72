#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <string>
#include <vector>

namespace curranthoist::control {

// One committed change of the configuration.
struct decision
{
    // The operator's name, or "leader".
    std::string author;
    // The leader's wall clock.
    base::instant time;
    // Empty for the leader's own decisions.
    base::intent_id intent;
    base::revision number;
    std::vector<std::string> changes;

    bool operator==(const decision&) const = default;
};

} // namespace curranthoist::control
