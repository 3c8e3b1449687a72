#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstdint>

namespace curranthoist::coreclient {

// Names one list of targets. Each publisher counts its own lists, so that the sequences
// of two publishers can't be compared, not even in one term: members of an earlier
// version may publish under the term of another leader.
struct listing_number
{
    base::endpoint publisher;
    base::term term;
    std::uint64_t sequence = 0;

    bool operator==(const listing_number&) const = default;
};

} // namespace curranthoist::coreclient
