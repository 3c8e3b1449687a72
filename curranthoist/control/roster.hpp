#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranthoist::control {

struct configuration;

// What the owners know about their targets, merged on the leader. It is in memory only:
// after a failover the VMs report everything again.
class roster
{
public:
    // A place in a snapshot's map.
    struct placement
    {
        base::snapshot_version version;
        base::shard_number shard;
        std::uint32_t shards = 0;
    };
    // A fact and the roster's sequence number when it last changed.
    struct entry
    {
        wire::target_fact_message fact;
        std::uint64_t changed_at = 0;
    };

    // Takes over those facts whose target is assigned to `vm` in `current`; a former
    // owner has no say any more. Returns true if anything changed.
    bool merge(const base::vm_id& vm, const wire::heartbeat& report,
               const configuration& current);

    // Rises with each change; 0 means that the roster is empty.
    [[nodiscard]] std::uint64_t sequence() const { return sequence_; }
    // Rises when a target's newest snapshot has another shard than before.
    [[nodiscard]] std::uint64_t placement_changes() const { return placement_changes_; }
    // The facts that changed after `since`. `full` marks it as the whole roster.
    [[nodiscard]] wire::roster_update_message update(std::uint64_t since,
                                                     bool full) const;
    [[nodiscard]] const std::map<base::target_id, entry>& entries() const
    {
        return entries_;
    }
    // The place of the newest snapshot that the target holds, if it reported one.
    [[nodiscard]] std::optional<placement> newest(const base::target_id& target) const;
    // Whether the target's last report says that it can serve.
    [[nodiscard]] bool is_usable(const base::target_id& target) const;
    // Drops everything; the sequence starts again.
    void clear();

private:
    std::map<base::target_id, entry> entries_;
    std::uint64_t sequence_ = 0;
    std::uint64_t placement_changes_ = 0;
};

} // namespace curranthoist::control
