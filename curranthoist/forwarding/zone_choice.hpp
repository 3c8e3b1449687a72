#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/zone_share.hpp"

#include <optional>

namespace curranthoist::forwarding {

// Decides which of one VM's queries leave its zone, so that the leader's share holds over
// all VMs of the zone together although each of them has a query in several seconds.
class zone_choice
{
public:
    // The last share holds for this time without a leader.
    static constexpr base::duration hold_time{1200};

    // `phase`, from 0 to 1, must differ between VMs: with the same one, all of them would
    // give away the same one of their queries.
    explicit zone_choice(double phase)
        : given_(phase)
    {}

    // The share that the leader named at `now`; nothing if the zone gives nothing away.
    void set_share(std::optional<deployment::zone_share> share, base::instant now);
    // Returns the zone that the next query goes to; nothing for the own one.
    [[nodiscard]] std::optional<base::zone_id> next(base::instant now);

private:
    std::optional<deployment::zone_share> share_;
    base::instant named_at_;
    // The part of a query that is due to be given away.
    double given_;
};

} // namespace curranthoist::forwarding
