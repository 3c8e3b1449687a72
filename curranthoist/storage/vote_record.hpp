#pragma once

#include "curranthoist/base/identifiers.hpp"

namespace curranthoist::storage {

// The current term and the member that got this member's vote in it (empty if none).
struct vote_record
{
    base::term term;
    base::member_id voted_for;

    bool operator==(const vote_record&) const = default;
};

} // namespace curranthoist::storage
