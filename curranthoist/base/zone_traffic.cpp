#include "curranthoist/base/zone_traffic.hpp"

#include <cstdint>
#include <string>

namespace curranthoist::base {

void zone_traffic::publish(counter_registry& metrics) const
{
    const auto labels = [](traffic_cause cause, const zone_id& from, const zone_id& to) {
        return std::string("cause=\"") + traffic_cause_name(cause) + "\",from=\"" +
               from.str() + "\",to=\"" + to.str() + "\"";
    };
    const auto set_bytes = [&metrics](const std::string& text, std::uint64_t bytes) {
        metrics
            .counter_named("curranthoist_zone_bytes_total",
                           "Bytes between processes, by cause and by the zones from "
                           "which and to which they went",
                           text)
            .set(static_cast<std::int64_t>(bytes));
    };
    for (const auto& [zone, counts] : counts_) {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            const auto cause = static_cast<traffic_cause>(i);
            const traffic_count& count = counts[i];
            if (count.sent_bytes == 0 && count.received_bytes == 0) {
                continue;
            }
            if (zone == own_zone_) {
                set_bytes(labels(cause, zone, zone),
                          count.sent_bytes + count.received_bytes);
            }
            else {
                set_bytes(labels(cause, own_zone_, zone), count.sent_bytes);
                set_bytes(labels(cause, zone, own_zone_), count.received_bytes);
            }
            metrics
                .counter_named("curranthoist_zone_messages_total",
                               "Requests and messages that this process sent, by cause "
                               "and zones",
                               labels(cause, own_zone_, zone))
                .set(static_cast<std::int64_t>(count.messages));
        }
    }
}

} // namespace curranthoist::base
