#pragma once

#include "curranthoist/base/duration.hpp"

#include <cstdint>

namespace curranthoist::control {

// What a service does with a request: scatter it to every shard, or run it once on one
// target.
enum class service_kind : std::uint8_t
{
    query,
    order
};

// What operators declare about one service.
struct service_spec
{
    service_kind kind = service_kind::query;
    // A result that misses a shard is refused instead of returned.
    bool demand_complete = false;
    // The deadline of a request that names none.
    base::duration default_deadline{500};
    // The longest deadline that a caller may name.
    base::duration max_deadline{2000};
    std::uint64_t max_body_bytes = 65536;

    bool operator==(const service_spec&) const = default;
};

} // namespace curranthoist::control
