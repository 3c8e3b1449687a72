#pragma once

#include <string>
#include <vector>

namespace curranthoist::deployment {

// A group of callers that share keys and a limit.
struct team
{
    std::string name;
    std::vector<std::string> keys;
    // Goes before the priority of the route; 0 is the highest.
    unsigned priority = 0;
    // Requests a second that all VMs together admit, 0 for any number, and how many more
    // at once after a quiet time.
    double rate = 0.0;
    double burst = 0.0;

    [[nodiscard]] bool is_limited() const { return rate > 0; }
    bool operator==(const team&) const = default;
};

} // namespace curranthoist::deployment
