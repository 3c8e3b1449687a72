#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/coreclient/core_links.hpp"
#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/deployment/gatherer.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace curranthoist::frontd {

class gather_links;
class target_upkeep;
struct front_state;

// Takes over what the core sends to this process, and gives it what the core asks for.
class core_updates
{
public:
    using configuration_handler = std::function<void(const deployment::configuration&)>;

    // All references must outlive it. `on_configuration` is called with each
    // configuration that takes effect.
    core_updates(front_state& state, target_upkeep& upkeep, gather_links& links,
                 base::zone_id own_zone, base::duration zone_cost,
                 configuration_handler on_configuration);
    core_updates(const core_updates&) = delete;
    core_updates& operator=(const core_updates&) = delete;

    [[nodiscard]] coreclient::core_links::handlers handlers();
    // Lets a pending configuration take effect if it may.
    void switch_configuration();

private:
    void on_state(const coreclient::received_state& state);
    void on_listing(const deployment::listing_change& change);
    void on_gatherers(std::vector<deployment::gatherer> gatherers);

    front_state& state_;
    target_upkeep& upkeep_;
    gather_links& links_;
    base::zone_id own_zone_;
    // The wait that a caller accepts for a request that stays in the zone.
    base::duration zone_cost_;
    configuration_handler on_configuration_;
    base::logger log_{"front"};
    base::monotonic_clock clock_;
    // Targets that do badly for the VMs together.
    std::size_t suspects_ = 0;
};

} // namespace curranthoist::frontd
