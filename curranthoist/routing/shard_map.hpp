#pragma once

#include "curranthoist/control/configuration.hpp"
#include "curranthoist/routing/service_map.hpp"
#include "curranthoist/routing/target_fact.hpp"

#include <map>
#include <memory>

namespace curranthoist::routing {

// For each service its snapshots, their shards and the usable targets of each. Build a
// new one when the configuration or a fact changes; a running query keeps its service's
// map.
//
// A target is not usable if it or its zone is out of service, it is draining,
// unreachable, being released, or has no owner. Such a target's snapshots still name the
// map's size.
class shard_map
{
public:
    using fact_map = std::map<base::target_id, target_fact>;

    // A larger map in a fact is taken as damaged data and the fact's snapshot ignored.
    static constexpr std::uint32_t max_shards = 65'536;
    // Of one fact, only this many snapshots count, the newest; a target holds the one in
    // use and a few that are being loaded or dropped.
    static constexpr std::size_t max_snapshots = 8;
    // Further snapshots of a service are ignored once its map has this many shards, so
    // that damaged facts can't exhaust the memory: a shard takes 24 bytes.
    static constexpr std::size_t max_service_shards = 16 * std::size_t{max_shards};

    shard_map() = default;
    shard_map(const control::configuration& configuration, const fact_map& facts);

    // Null if the service isn't configured.
    [[nodiscard]] std::shared_ptr<const service_map>
    find(const base::service_id& service) const;

private:
    std::map<base::service_id, std::shared_ptr<const service_map>> services_;
};

} // namespace curranthoist::routing
