#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace curranthoist::storage {

// What the data of a log entry means.
enum class entry_kind : std::uint8_t
{
    empty,
    command,
    membership,
};

// One entry of the replicated log.
struct log_entry
{
    base::term term;
    base::log_index index;
    entry_kind kind = entry_kind::empty;
    std::vector<std::uint8_t> data;

    bool operator==(const log_entry&) const = default;
};

} // namespace curranthoist::storage
