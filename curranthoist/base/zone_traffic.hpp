#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/traffic_cause.hpp"
#include "curranthoist/base/traffic_count.hpp"

#include <array>
#include <map>
#include <utility>

namespace curranthoist::base {

// What a process exchanges with others, by their zone and by cause. Of two processes of
// the system, the one that knows the other's zone counts both directions, so that the sum
// over all processes has each byte once. What the transport adds is not counted.
//
//     base::traffic_count& parts = traffic.with(traffic_cause::targets, target.zone);
//     parts.sent_bytes += size;
class zone_traffic
{
public:
    explicit zone_traffic(zone_id own_zone)
        : own_zone_(std::move(own_zone))
    {}

    // The count of one cause and zone; the reference stays valid for the life of this
    // object.
    [[nodiscard]] traffic_count& with(traffic_cause cause, const zone_id& zone)
    {
        return counts_[zone][static_cast<std::size_t>(cause)];
    }
    // Sets the counters of a registry.
    void publish(counter_registry& metrics) const;

private:
    zone_id own_zone_;
    std::map<zone_id, std::array<traffic_count, traffic_cause_count>> counts_;
};

} // namespace curranthoist::base
