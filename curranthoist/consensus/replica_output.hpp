#pragma once

#include "curranthoist/consensus/messages.hpp"
#include "curranthoist/storage/log_snapshot.hpp"
#include "curranthoist/storage/vote_record.hpp"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace curranthoist::consensus {

// Entries to append; the first one replaces the entry at its index and all later ones.
struct append_write
{
    std::vector<storage::log_entry> entries;
};

// A log snapshot to store. With `discard_log`, the whole log is replaced by it; otherwise
// entries after it stay.
struct snapshot_write
{
    std::shared_ptr<const storage::log_snapshot> snapshot;
    bool discard_log = false;
};

// One write to make durable. Writes are performed in order; after one is synced, its
// number goes to replica::on_disk_done().
struct disk_write
{
    std::uint64_t number = 0;
    std::variant<storage::vote_record, append_write, snapshot_write> content;
};

// The end of a confirm_read(). A confirmed read may be answered once the state machine
// has applied `index`.
struct read_result
{
    std::uint64_t token = 0;
    bool confirmed = false;
    base::log_index index;
};

// What a replica wants done, in this order.
struct replica_output
{
    std::vector<disk_write> writes;
    std::vector<outgoing_message> messages;
    // Replaces the applied state; null if there is nothing to restore.
    std::shared_ptr<const storage::log_snapshot> restore;
    // Entries of every kind that became committed, in order and without gaps.
    std::vector<storage::log_entry> committed;
    std::vector<read_result> reads;
};

} // namespace curranthoist::consensus
