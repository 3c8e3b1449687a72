#include "curranthoist/base/random_source.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/control/configuration_delta.hpp"

#include <gtest/gtest.h>

#include <string>

namespace curranthoist::control {
namespace {

constexpr int seeds = 500;

template <class Id, class Value, class Make>
void fill(base::random_source& random, std::map<Id, Value>& entries, const Make& make)
{
    for (int i = 0; i < 6; ++i) {
        if (random.chance(0.7)) {
            entries[Id("id-" + std::to_string(i))] = make();
        }
    }
}

// Few values, so that two configurations share some entries and differ in others.
configuration random_configuration(base::random_source& random, std::uint64_t revision)
{
    const auto flag = [&] { return random.chance(0.5); };
    const base::endpoint address{"127.0.0.1", 9000};
    configuration value;
    value.number = base::revision(revision);
    fill(random, value.zones, [&] { return zone_spec{flag()}; });
    fill(random, value.services, [&] {
        service_spec spec;
        spec.demand_complete = flag();
        return spec;
    });
    fill(random, value.targets, [&] {
        return target_spec{base::service_id("s"), base::zone_id("z"), address, 2, 25,
                           base::duration(6),     random.chance(0.5)};
    });
    fill(random, value.vms, [&] { return vm_spec{base::zone_id("z"), address, flag()}; });
    fill(random, value.assignments, [&] {
        return assignment{base::vm_id("vm"), base::fence(random.below(2)),
                          assignment_phase::owned, flag(), 0};
    });
    return value;
}

// R10: a VM that loses or keeps an entry by a delta runs under a configuration that no
// operator accepted.
TEST(configuration_delta_test, a_delta_over_the_wire_gives_the_same_configuration)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        base::random_source random(static_cast<std::uint64_t>(seed));
        configuration value = random_configuration(random, 1);
        const configuration after = random_configuration(random, 2);
        const configuration_delta delta = diff(value, after);
        const configuration_delta received = from_message(to_message(delta));
        ASSERT_EQ(received, delta) << "seed " << seed;
        ASSERT_TRUE(apply(value, received));
        ASSERT_EQ(value, after) << "seed " << seed;
    }
}

// A delta that is lost, repeated or late must not be mixed into another revision.
TEST(configuration_delta_test, a_delta_on_another_base_changes_nothing)
{
    base::random_source random(1);
    const configuration_delta delta =
        diff(random_configuration(random, 4), random_configuration(random, 5));
    for (const std::uint64_t revision : {0U, 3U, 5U, 6U}) {
        configuration value = random_configuration(random, revision);
        const configuration before = value;
        EXPECT_FALSE(apply(value, delta));
        EXPECT_EQ(value, before);
    }
}

} // namespace
} // namespace curranthoist::control
