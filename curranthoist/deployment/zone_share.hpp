#pragma once

#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::deployment {

// The part of its queries that a zone gives away to another one, from 0 to 1.
struct zone_share
{
    base::zone_id from;
    base::zone_id to;
    double share = 0;

    bool operator==(const zone_share&) const = default;
};

} // namespace curranthoist::deployment
