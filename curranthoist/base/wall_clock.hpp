#pragma once

#include "curranthoist/base/instant.hpp"

namespace curranthoist::base {

// Milliseconds since 1970 UTC. It may jump in either direction: use it for times that
// people or other machines see, never for a deadline or a lease.
class wall_clock
{
public:
    [[nodiscard]] instant now() const;
};

} // namespace curranthoist::base
