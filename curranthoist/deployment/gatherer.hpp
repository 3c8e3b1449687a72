#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::deployment {

// A front process that sends parts of queries to the targets of its availability zone for
// other front processes.
struct gatherer
{
    base::vm_id name;
    base::zone_id zone;
    // Where it takes gather requests.
    base::endpoint address;

    bool operator==(const gatherer&) const = default;
};

} // namespace curranthoist::deployment
