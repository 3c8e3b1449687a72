#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/gatherer.hpp"
#include "curranthoist/forwarding/request_action.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace curranthoist::forwarding {

class target_directory;

// The shards of one query that one gatherer gets.
struct gather_group
{
    base::vm_id gatherer;
    // Indices of the query's shards.
    std::vector<std::size_t> shards;
};

// The gatherers of each zone, in the order of their names' hashes with `own_name`: each
// VM prefers others.
std::map<base::zone_id, std::vector<base::vm_id>>
order_gatherers(std::span<const deployment::gatherer> gatherers,
                std::string_view own_name);

// Divides the shards of a query among gatherers.
//
// Load pattern: a query to hundreds of shards on a VM with a small part of a processor.
// Sending and reading all parts itself takes the VM as long as the whole objective.
//
// Each shard goes to the VM's own zone if that has a usable target of it which does well,
// so that its parts don't cross zones, and otherwise to another zone, the same one on
// every VM, so that the gatherers of a zone keep connections to the same targets in use.
// A query that its zone gives away goes to the zone `away`, as far as that has such
// targets and gatherers; null for a query that stays. Within a zone each VM has an order
// of its own among the gatherers and takes the first. Shards without such a zone are in
// no group; this VM sends them itself.
std::vector<gather_group> plan_gather(std::span<const base::service_id> shards,
                                      std::span<const deployment::gatherer> available,
                                      const target_directory& directory,
                                      std::string_view own_name, base::instant now,
                                      const base::zone_id* away = nullptr);

// The second sends of one query that go through one gatherer of another zone.
struct second_send_group
{
    base::vm_id gatherer;
    // Indices of the sends.
    std::vector<std::size_t> sends;
};

// Chooses the second sends of a query that go through a gatherer of their targets' zone.
//
// Load pattern: many parts of a query are late at once, and only other zones have further
// targets of their shards. Each part that comes by itself crosses zones with all of its
// records, on a connection of its own; a gatherer's report has the greatest records of
// all of them. A single part is faster without the detour.
std::vector<second_send_group>
plan_second_sends(std::span<const send_action> sends,
                  std::span<const deployment::gatherer> available,
                  const target_directory& directory, std::string_view own_name);

// A query to fewer shards is not divided.
constexpr std::size_t min_shards_to_gather = 60;
// A gatherer gets at most this many shards of one query; a zone with more uses several.
constexpr std::size_t max_shards_per_gatherer = 40;
// A VM keeps connections to this many gatherers of each zone, in its own order.
constexpr std::size_t linked_gatherers_per_zone = 3;

} // namespace curranthoist::forwarding
