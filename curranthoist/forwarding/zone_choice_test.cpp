#include "curranthoist/forwarding/zone_choice.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

namespace curranthoist::forwarding {
namespace {

using base::duration;
using base::instant;

const base::zone_id zone_a("a");
const base::zone_id zone_b("b");
const instant start(10'000);

// Guards against VMs that each round a small share down to nothing, or up to one query.
TEST(zone_choice_test, vms_with_few_queries_give_away_the_share_together)
{
    constexpr std::size_t vms = 40;
    constexpr int queries = 3;
    std::vector<zone_choice> choices;
    for (std::size_t i = 0; i < vms; ++i) {
        choices.emplace_back((static_cast<double>(i) + 0.5) / static_cast<double>(vms));
    }
    int given = 0;
    for (int round = 0; round < queries; ++round) {
        for (zone_choice& one : choices) {
            one.set_share(deployment::zone_share{zone_a, zone_b, 0.1}, start);
            given += one.next(start) == zone_b ? 1 : 0;
        }
    }
    EXPECT_EQ(given, 12);
}

// Guards against a share that outlives the leader that named it.
TEST(zone_choice_test, keeps_the_share_for_a_while_without_a_leader_and_then_gives_none)
{
    zone_choice choice(0.0);
    choice.set_share(deployment::zone_share{zone_a, zone_b, 1.0}, start);
    EXPECT_EQ(choice.next(start + zone_choice::hold_time), zone_b);
    EXPECT_EQ(choice.next(start + zone_choice::hold_time + duration(1)), std::nullopt);
}

// Guards against a share that goes on after the leader has ended it.
TEST(zone_choice_test, gives_nothing_away_once_the_leader_names_no_share)
{
    zone_choice choice(0.0);
    choice.set_share(deployment::zone_share{zone_a, zone_b, 1.0}, start);
    choice.set_share(std::nullopt, start);
    EXPECT_EQ(choice.next(start), std::nullopt);
}

} // namespace
} // namespace curranthoist::forwarding
