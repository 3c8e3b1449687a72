#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <string>
#include <vector>

namespace curranthoist::control {

// What became of an accepted intent; kept so that a resend learns the same.
struct intent_outcome
{
    // intent_digest() of its content.
    std::string digest;
    base::instant time;
    base::revision number;
    std::vector<std::string> changes;

    bool operator==(const intent_outcome&) const = default;
};

} // namespace curranthoist::control
