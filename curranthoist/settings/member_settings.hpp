#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::settings {

// One of the initial members of the replicated log.
struct member_settings
{
    base::member_id name;
    base::endpoint peer_address;
    base::endpoint operators_address;
};

} // namespace curranthoist::settings
