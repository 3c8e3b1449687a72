#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::control {

// What operators declare about one target.
struct target_spec
{
    base::service_id service;
    base::zone_id zone;
    base::endpoint address;
    // Requests that it runs at once.
    std::uint32_t slots = 2;
    // Connections that it accepts at once, from all VMs together.
    std::uint32_t connections = 25;
    // What a new connection costs it.
    base::duration connect_cost{6};
    bool in_service = true;

    bool operator==(const target_spec&) const = default;
};

} // namespace curranthoist::control
