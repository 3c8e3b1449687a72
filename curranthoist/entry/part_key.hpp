#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <compare>
#include <cstdint>

namespace curranthoist::entry {

// Names one part or order at its owner: which VM coordinates it, and that VM's numbers.
// An order's part number is 0; parts count from 1.
struct part_key
{
    base::vm_id coordinator;
    std::uint64_t query = 0;
    std::uint64_t part = 0;

    auto operator<=>(const part_key&) const = default;
};

} // namespace curranthoist::entry
