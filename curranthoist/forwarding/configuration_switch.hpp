#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/route_table.hpp"

#include <memory>

namespace curranthoist::forwarding {

class target_directory;

// Decides when a new configuration takes effect on this VM. A configuration that sends a
// route to other services waits until each of these services has a usable target and, for
// a shorter time, until this VM has a connection to one; both waits are limited. The
// reason is that a newly resharded index has only cold targets, while the old shards
// still respond. A configuration takes effect as a whole, and an older one never takes
// effect again.
class configuration_switch
{
public:
    using table_pointer = std::shared_ptr<const deployment::route_table>;

    // A configuration takes effect at most `max_delay` after it was offered.
    explicit configuration_switch(base::duration max_delay)
        : max_delay_(max_delay)
    {}

    // Offers a configuration. Its version must be higher than every version offered
    // before.
    void offer(table_pointer next, base::instant now);
    // Puts the pending configuration into effect if its conditions hold. Returns true if
    // it took effect.
    bool update(const target_directory& targets, base::instant now);

    // Returns the configuration in force, or null before the first one.
    [[nodiscard]] const table_pointer& current() const { return current_; }
    // Returns the configuration that waits to take effect, or null if there is none.
    [[nodiscard]] const table_pointer& pending() const { return pending_; }
    // Returns the highest version that was offered, or 0 before the first offer.
    [[nodiscard]] std::uint64_t offered_version() const;

private:
    // Maximum wait for connections to new services.
    static constexpr base::duration max_connection_wait{800};

    [[nodiscard]] bool can_serve(const target_directory& targets,
                                 base::instant now) const;

    base::duration max_delay_;
    table_pointer current_;
    table_pointer pending_;
    // Time at which the oldest configuration that is not yet in force was offered.
    base::instant pending_since_;
};

} // namespace curranthoist::forwarding
