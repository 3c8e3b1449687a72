#pragma once

#include "curranthoist/coreclient/listing_number.hpp"

#include <cstdint>

namespace curranthoist::coreclient {

class followed_leader;

// Decides which list of targets replaces the one that a process holds.
//
// Pure, like followed_leader, which knows the leaders' terms.
class listing_order
{
public:
    // Takes a list, or a change of the publisher's list of the sequence `base`, if it is
    // to replace the one held. A list with `base` 0 is complete. Returns false if the
    // held one stays.
    bool take(const listing_number& offered, std::uint64_t base,
              const followed_leader& leader);
    // True if this is the list held, and no later leader is known than its publisher.
    [[nodiscard]] bool confirms(const listing_number& offered,
                                const followed_leader& leader) const;

    // The list held, as its publisher is told. Any other member counts differently and is
    // told that there is none.
    [[nodiscard]] listing_number held_for(const base::endpoint& member) const;

private:
    [[nodiscard]] bool is_newer(const listing_number& offered, std::uint64_t base,
                                const followed_leader& leader) const;

    listing_number held_;
};

} // namespace curranthoist::coreclient
