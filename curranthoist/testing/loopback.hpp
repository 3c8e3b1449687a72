#pragma once

#include <string>

#include <unistd.h>

namespace curranthoist::testing {

// A loopback address that no other test process uses at the same time: 127.a.b.host with
// the process id in a and b. Tests run in parallel, so a fixed address would make them
// fail in turns. 127.0 and 127.255 are left to others. `host` must be in 1 to 254.
inline std::string loopback_address(unsigned host)
{
    constexpr unsigned byte = 256;
    constexpr unsigned usable = 254;
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + id / byte % usable) + "." +
           std::to_string(id % byte) + "." + std::to_string(host);
}

} // namespace curranthoist::testing
