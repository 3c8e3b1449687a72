#pragma once

#include "curranthoist/storage/log_entry.hpp"
#include "curranthoist/storage/log_snapshot.hpp"
#include "curranthoist/storage/vote_record.hpp"

#include <memory>
#include <vector>

namespace curranthoist::storage {

// What a data folder holds when it is opened.
struct recovered_log
{
    base::member_id identity;
    vote_record vote;
    // Null if no log snapshot was written.
    std::shared_ptr<const log_snapshot> snapshot;
    // The entries after the log snapshot, without gaps.
    std::vector<log_entry> entries;
};

} // namespace curranthoist::storage
