#pragma once

#include "curranthoist/control/configuration.hpp"
#include "curranthoist/routing/service_map.hpp"
#include "curranthoist/routing/target_fact.hpp"

#include <map>
#include <memory>

namespace curranthoist::routing {

// Maps each service to its snapshots, their shards, and the usable targets of each shard.
// A shard_map does not change: the owner builds a new one when the configuration or a
// target report changes. A running query keeps the service_map that it started with.
//
// A target is not usable if the target or its zone is out of service, or if the target is
// draining, unreachable, being released, or without an owner. The snapshots of such a
// target still determine the number of shards.
class shard_map
{
public:
    using target_report_map = std::map<base::target_id, target_fact>;

    // A snapshot with more shards in a target report is treated as damaged data and
    // ignored.
    static constexpr std::uint32_t max_shards = 65'536;
    // Only this many of the newest snapshots in one target report are used. A target
    // holds the snapshot in use and a few that are being loaded or dropped.
    static constexpr std::size_t max_snapshots = 8;
    // Limits the shards of all snapshots of one service together; snapshots beyond the
    // limit are ignored. The limit keeps damaged target reports from exhausting the
    // memory: each shard takes 24 bytes.
    static constexpr std::size_t max_service_shards = 16 * std::size_t{max_shards};

    shard_map() = default;
    shard_map(const control::configuration& configuration,
              const target_report_map& target_reports);

    // Returns null if the service is not configured.
    [[nodiscard]] std::shared_ptr<const service_map>
    find(const base::service_id& service) const;

private:
    std::map<base::service_id, std::shared_ptr<const service_map>> services_;
};

} // namespace curranthoist::routing
