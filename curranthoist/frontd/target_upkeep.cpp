#include "curranthoist/frontd/target_upkeep.hpp"

#include "curranthoist/forwarding/gather_plan.hpp"
#include "curranthoist/frontd/front_state.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace curranthoist::frontd {

namespace {

// A healthy target answers its health request within a few milliseconds.
constexpr base::duration health_limit{300};
// Connections to targets are made before they are needed, so many at once: a query needs
// one to each shard, and their handshakes would make it late.
constexpr std::size_t connects_at_once = 12;
constexpr base::duration connect_ahead_interval{100};
// The services that need connections are determined once in this time.
constexpr base::duration connected_services_interval{1000};

} // namespace

target_upkeep::target_upkeep(front_state& state, base::zone_id own_zone)
    : state_(state)
    , own_zone_(std::move(own_zone))
{}

void target_upkeep::withdraw_unsent(base::instant now)
{
    state_.context.pool.withdraw_unsent([this, now](const base::target_id& id) {
        return !state_.context.directory.is_usable(id, now);
    });
}

void target_upkeep::probe_targets(base::instant now)
{
    if (!state_.configuration.current()) {
        return;
    }
    const auto& services = state_.configuration.current()->source().services;
    for (const base::target_id& id : state_.context.directory.due_probes(now)) {
        const deployment::listed_target* target = state_.context.directory.find(id);
        const auto limits = services.find(target->service);
        if (limits == services.end()) {
            continue;
        }
        state_.context.client_of(*target, state_.configuration.current()->source())
            .start(platform::encode_health_call(limits->second.health_path, health_limit),
                   [this, id](const http::target_result& result) {
                       const platform::health_answer health =
                           platform::decode_health_answer(result);
                       const bool same = health.instance == id;
                       log_.info("event=target_probed target=" + id.str() +
                                 " outcome=\"" +
                                 std::string(http::outcome_text(result.outcome)) +
                                 "\" status=" + std::to_string(result.status) +
                                 " instance=" + health.instance.str() + " cold_ms=" +
                                 std::to_string(health.remaining_cold_time.count()));
                       if (same) {
                           state_.context.on_notice(id, health.notice, clock_.now());
                       }
                       if (health.healthy && same) {
                           state_.context.directory.on_healthy(
                               id, health.remaining_cold_time, clock_.now());
                       }
                   });
    }
}

void target_upkeep::preconnect(base::instant now)
{
    if (!state_.configuration.current() ||
        now - connected_ahead_ < connect_ahead_interval) {
        return;
    }
    connected_ahead_ = now;
    // The services of the configuration that waits come first: it waits for them.
    const deployment::route_table& table = state_.newest_table();
    for (const base::target_id& id : state_.context.directory.due_preconnections(
             services_to_connect(table, now), connects_at_once, now)) {
        state_.context.client_of(*state_.context.directory.find(id), table.source())
            .preconnect();
    }
}

const std::vector<base::service_id>&
target_upkeep::services_to_connect(const deployment::route_table& table,
                                   base::instant now)
{
    if (!connected_services_.empty() &&
        now - connected_services_at_ < connected_services_interval) {
        return connected_services_;
    }
    connected_services_at_ = now;
    connected_services_.clear();
    std::set<base::service_id> shards;
    if (state_.context.gatherers_in_zone > 0) {
        for (const deployment::route& route : table.source().routes) {
            if (route.shards.size() >= forwarding::min_shards_to_gather) {
                shards.insert(route.shards.begin(), route.shards.end());
            }
        }
    }
    for (const base::service_id& service : table.services()) {
        const auto zones = state_.context.directory.usable_zones(service, now);
        const bool has_own = std::any_of(zones.begin(), zones.end(), [this](auto* zone) {
            return *zone == own_zone_;
        });
        if (!shards.contains(service) || (state_.context.gathers && has_own)) {
            connected_services_.push_back(service);
        }
    }
    return connected_services_;
}

} // namespace curranthoist::frontd
