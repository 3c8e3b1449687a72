#pragma once

#include "curranthoist/routing/target_fact.hpp"

#include <cstdint>
#include <map>
#include <span>

namespace curranthoist::entry {

// How many shards the versions have that a target held lately. A reply to a part names
// it, also when the target has dropped the version since.
class snapshot_history
{
public:
    void add(std::span<const routing::held_snapshot> held)
    {
        for (const routing::held_snapshot& one : held) {
            shards_[one.version] = one.shards;
        }
        while (shards_.size() > max_versions) {
            shards_.erase(shards_.begin());
        }
    }

    // 0 for an unknown version.
    [[nodiscard]] std::uint32_t shards_of(base::snapshot_version version) const
    {
        const auto found = shards_.find(version);
        return found == shards_.end() ? 0 : found->second;
    }

private:
    static constexpr std::size_t max_versions = 128;

    std::map<base::snapshot_version, std::uint32_t> shards_;
};

} // namespace curranthoist::entry
