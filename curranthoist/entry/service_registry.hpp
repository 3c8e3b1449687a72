#pragma once

#include "curranthoist/base/random_source.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/entry/service_state.hpp"
#include "curranthoist/routing/shard_map.hpp"
#include "curranthoist/settings/policy_settings.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <map>
#include <memory>
#include <set>

namespace curranthoist::entry {

// The services as this VM routes to them: their maps, built from the configuration and
// the target facts, and what their requests share.
class service_registry
{
public:
    service_registry(settings::policy_settings policies, base::random_source& random);

    // The configuration changed; it must live until the next call.
    void apply(const control::configuration& configuration);
    // The leader's roster. A fact of an own target is kept as this VM knows it.
    void apply(const wire::roster_update& update);
    // What this VM knows about a target that it owns.
    void set_own_fact(const base::target_id& target, const routing::target_fact& fact);

    // The target is owned by another VM from now on, whose reports come with the roster.
    void forget_own_fact(const base::target_id& target);

    // The service's present map; null if it isn't configured.
    std::shared_ptr<const routing::service_map> map_of(const base::service_id& service);
    // Created at the first use and kept.
    service_state& state_of(const base::service_id& service);
    // Owners without a working link, for every service's choices.
    void set_disconnected_owners(const std::set<base::vm_id>& lost);

private:
    void rebuild();

    settings::policy_settings policies_;
    base::random_source& random_;
    const control::configuration* configuration_ = nullptr;
    routing::shard_map::target_report_map roster_;
    routing::shard_map::target_report_map own_;
    bool changed_ = true;
    routing::shard_map map_;
    std::map<base::service_id, std::unique_ptr<service_state>> states_;
    std::set<base::vm_id> lost_;
};

// A fact in the form of messages, and back.
wire::target_fact_message to_message(const base::target_id& target,
                                     const routing::target_fact& fact);
routing::target_fact from_message(const wire::target_fact& message);

} // namespace curranthoist::entry
