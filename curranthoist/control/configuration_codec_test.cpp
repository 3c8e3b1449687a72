#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/configuration_codec.hpp"

#include <gtest/gtest.h>

namespace curranthoist::control {
namespace {

configuration sample()
{
    configuration value;
    value.number = base::revision(7);
    value.zones[base::zone_id("nadi")] = zone_spec{false};
    value.services[base::service_id("matching-desk")] = service_spec{
        service_kind::query, true, base::duration(300), base::duration(900), 10};
    value.targets[base::target_id("m-0a")] =
        target_spec{base::service_id("matching-desk"),
                    base::zone_id("nadi"),
                    base::endpoint{"127.0.0.1", 8080},
                    4,
                    110,
                    base::duration(1),
                    false};
    value.vms[base::vm_id("vm-1")] =
        vm_spec{base::zone_id("nadi"), base::endpoint{"127.0.0.1", 7000}, false};
    value.assignments[base::target_id("m-0a")] = assignment{
        base::vm_id("vm-1"), base::fence(3), assignment_phase::releasing, true, 9000};
    return value;
}

TEST(configuration_codec_test, nothing_is_lost_on_the_way_to_an_entry_vm)
{
    EXPECT_EQ(from_message(to_message(sample())), sample());
}

TEST(configuration_codec_test, every_unreadable_entry_is_reported)
{
    wire::configuration_message message = to_message(sample());
    message.targets[0]->address = "nowhere";
    message.vms[0]->peer_address = "127.0.0.1";
    message.zones[0]->id.clear();
    try {
        from_message(message);
        FAIL() << "no error was thrown";
    }
    catch (const base::findings_error& error) {
        EXPECT_EQ(error.found().list().size(), 3U);
    }
}

// Guards against deadlines that overflow when they are added to a time, and against
// enumerators that no switch knows.
TEST(configuration_codec_test, values_out_of_range_are_reported)
{
    wire::configuration_message message = to_message(sample());
    message.services[0]->default_deadline_ms = std::uint64_t{1} << 63;
    message.services[0]->max_deadline_ms = (std::uint64_t{1} << 63) - 1;
    message.services[0]->kind = static_cast<wire::service_kind>(9);
    message.targets[0]->connect_cost_ms = std::uint64_t{1} << 63;
    message.assignments[0]->phase = static_cast<wire::assignment_phase>(9);
    try {
        from_message(message);
        FAIL() << "no error was thrown";
    }
    catch (const base::findings_error& error) {
        EXPECT_EQ(error.found().list().size(), 5U) << error.found().str();
    }
}

} // namespace
} // namespace curranthoist::control
