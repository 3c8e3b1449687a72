#include "curranthoist/forwarding/configuration_switch.hpp"

#include "curranthoist/forwarding/target_directory.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace curranthoist::forwarding {

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
    const std::vector<base::service_id>& current_services = current_->services();
    const std::vector<base::service_id>& pending_services = pending_->services();
    const bool waits_for_connections = now - pending_since_ < max_connection_wait;
    return std::all_of(pending_services.begin(), pending_services.end(),
                       [&](const base::service_id& service) {
                           return std::binary_search(current_services.begin(),
                                                     current_services.end(), service) ||
                                  (targets.choose(service, {}, now) != nullptr &&
                                   (!waits_for_connections ||
                                    targets.has_free_connection(service, now)));
                       });
}

bool configuration_switch::update(const target_directory& targets, base::instant now)
{
    if (!pending_) {
        return false;
    }
    if (current_ && now - pending_since_ < max_delay_ && !can_serve(targets, now)) {
        return false;
    }
    current_ = std::exchange(pending_, nullptr);
    return true;
}

} // namespace curranthoist::forwarding
