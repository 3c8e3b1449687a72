#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace curranthoist::storage {

// The state that replaces the log up to and including `index`.
struct log_snapshot
{
    base::log_index index;
    // The term of the entry at `index`.
    base::term term;
    // The encoded membership in force at `index`.
    std::vector<std::uint8_t> membership;
    // The applied state machine's state after the entry at `index`.
    std::vector<std::uint8_t> data;

    bool operator==(const log_snapshot&) const = default;
};

} // namespace curranthoist::storage
