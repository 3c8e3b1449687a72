#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/forwarding/request_action.hpp"

#include <cstdint>
#include <vector>

namespace curranthoist::frontd {

// Shards of a caller's request that a gatherer sends.
struct group_send
{
    base::vm_id gatherer;
    // Number of the request at gather_links; 0 if it is not open.
    std::uint64_t request = 0;
    std::vector<forwarding::call_id> calls;
    base::instant sent;
    bool reported = false;
    bool overdue = false;
    // Its parts are reported one by one, as they come.
    bool separate = false;
};

} // namespace curranthoist::frontd
