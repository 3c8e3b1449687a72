#include "curranthoist/base/zone_traffic.hpp"

#include <gtest/gtest.h>

namespace curranthoist::base {
namespace {

// Guards against bytes between zones that are counted in the wrong direction or twice.
TEST(zone_traffic_test, names_both_directions_between_zones_and_one_sum_inside)
{
    zone_traffic traffic(zone_id("a"));
    traffic_count& far = traffic.with(traffic_cause::targets, zone_id("b"));
    far.sent_bytes = 3;
    far.received_bytes = 40;
    far.messages = 1;
    traffic_count& near = traffic.with(traffic_cause::gather, zone_id("a"));
    near.sent_bytes = 5;
    near.received_bytes = 600;
    counter_registry metrics;
    traffic.publish(metrics);
    const std::string text = metrics.prometheus_text();
    const auto has = [&text](const std::string& line) {
        return text.find(line + "\n") != std::string::npos;
    };
    const std::string name = "curranthoist_zone_bytes_total";
    EXPECT_TRUE(has(name + R"({cause="targets",from="a",to="b"} 3)"));
    EXPECT_TRUE(has(name + R"({cause="targets",from="b",to="a"} 40)"));
    EXPECT_TRUE(has(name + R"({cause="gather",from="a",to="a"} 605)"));
    EXPECT_TRUE(
        has(R"(curranthoist_zone_messages_total{cause="targets",from="a",to="b"} 1)"));
}

} // namespace
} // namespace curranthoist::base
