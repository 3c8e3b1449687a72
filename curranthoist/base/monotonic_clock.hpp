#pragma once

#include "curranthoist/base/instant.hpp"

namespace curranthoist::base {

// The machine's clock for deadlines and leases. It counts on while the process is stopped
// by a signal or the machine is suspended (CLOCK_BOOTTIME), so a frozen process finds its
// lease expired after it continues. Every call reads the clock; nothing is cached.
class monotonic_clock
{
public:
    [[nodiscard]] instant now() const;
};

} // namespace curranthoist::base
