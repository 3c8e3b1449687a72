#include "curranthoist/forwarding/configuration_switch.hpp"

#include "curranthoist/forwarding/target_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace curranthoist::forwarding {

namespace {

std::set<base::service_id> services_of(const deployment::route_table& table)
{
    std::set<base::service_id> result;
    for (const deployment::route& route : table.source().routes) {
        result.insert(route.shards.begin(), route.shards.end());
        for (const deployment::weighted_service& one : route.services) {
            result.insert(one.service);
        }
    }
    return result;
}

} // namespace

void configuration_switch::offer(table_pointer next, base::instant now)
{
    if (!pending_) {
        pending_since_ = now;
    }
    pending_ = std::move(next);
}

std::uint64_t configuration_switch::offered_version() const
{
    if (pending_) {
        return pending_->source().version;
    }
    return current_ ? current_->source().version : 0;
}

bool configuration_switch::can_serve(const target_directory& targets,
                                     base::instant now) const
{
    const std::set<base::service_id> before = services_of(*current_);
    const std::set<base::service_id> after = services_of(*pending_);
    return std::all_of(after.begin(), after.end(), [&](const base::service_id& service) {
        return before.contains(service) || targets.choose(service, {}, now) != nullptr;
    });
}

bool configuration_switch::update(const target_directory& targets, base::instant now)
{
    if (!pending_) {
        return false;
    }
    if (current_ && now - pending_since_ < limit_ && !can_serve(targets, now)) {
        return false;
    }
    current_ = std::exchange(pending_, nullptr);
    return true;
}

} // namespace curranthoist::forwarding
