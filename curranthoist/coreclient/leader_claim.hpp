#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <optional>

namespace curranthoist::coreclient {

// What a member of the core says of the leadership in its answer to a report.
struct leader_claim
{
    base::endpoint member;
    bool leads = false;
    // The term in which the member leads, or else the latest one of which it knows the
    // elected leader. 0 if it knows none, and from a member whose version does not tell.
    base::term term;
    // When the report was sent that is answered; nullopt if that is not known.
    std::optional<base::instant> asked_at;
};

} // namespace curranthoist::coreclient
