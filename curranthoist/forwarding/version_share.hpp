#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/instant.hpp"

#include <algorithm>

namespace curranthoist::forwarding {

// Decides on one VM which requests of a service may go to the version of its running
// roll-out. Each request adds the share to a credit and each one that goes to the version
// takes 1 off it, so that the version never gets more than its share, also if requests
// are few.
class version_share
{
public:
    // A share is in force for this time at most. A VM that hears no newer one sends to
    // the old version alone.
    static constexpr base::duration max_lifetime{1200};
    // Time for the delivery of a report and for its judgement by a busy leader.
    static constexpr base::duration delivery_limit{400};

    // Returns the lifetime of shares that stops a bad version within `rollback_limit`. A
    // bad answer reaches the leader after `report_delay` and the delivery, and a share
    // that was asked for just before ends after its lifetime.
    [[nodiscard]] static constexpr base::duration
    lifetime_for(base::duration rollback_limit, base::duration report_delay)
    {
        const base::duration rest = rollback_limit - report_delay - delivery_limit;
        return std::clamp(rest, base::duration(), max_lifetime);
    }

    // `initial_credit` is in [0, 1) and differs between VMs. Otherwise hundreds of VMs
    // with few requests each would send nothing to the version, or all of them at once.
    explicit version_share(double initial_credit, base::duration lifetime = max_lifetime);

    // Sets the share, from 0 to 1, that the leader named at `named_at` or later.
    void set(double share, base::instant named_at);
    // Returns true if the version may get any requests now.
    [[nodiscard]] bool is_open(base::instant now) const;
    // Returns true if the next request may go to the version.
    [[nodiscard]] bool allows_next(base::instant now) const;
    // Records a request to the service.
    void on_sent(bool to_ordered_version, base::instant now);

private:
    [[nodiscard]] double current(base::instant now) const;

    double credit_;
    base::duration lifetime_;
    double share_ = 0.0;
    base::instant named_at_;
};

} // namespace curranthoist::forwarding
