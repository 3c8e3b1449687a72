#include "curranthoist/consensus/replica_schedule_test.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace curranthoist::consensus {
namespace {

using ::testing::HasSubstr;
using testing_support::new_identities;
using testing_support::random_schedule;

constexpr std::uint64_t steps_per_schedule = 4000;

// The first seed; CURRANTHOIST_SCHEDULE_SEED replaces it.
std::uint64_t first_seed()
{
    const char* text = std::getenv("CURRANTHOIST_SCHEDULE_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

TEST(replica_schedule_test, keeps_every_acknowledged_entry_under_random_faults)
{
    const char* count_text = std::getenv("CURRANTHOIST_SCHEDULE_COUNT");
    const std::uint64_t schedules =
        count_text == nullptr ? 200 : std::strtoull(count_text, nullptr, 10);
    std::uint64_t steps = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t repairs = 0;
    std::uint64_t second_losses = 0;
    std::uint64_t reads = 0;
    const std::uint64_t first = first_seed();
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        random_schedule<replica_rules> schedule(seed);
        ASSERT_EQ(schedule.run(steps_per_schedule), "") << "seed " << seed;
        steps += schedule.steps();
        acknowledged += schedule.acknowledged();
        repairs += schedule.repairs();
        second_losses += schedule.second_losses();
        reads += schedule.reads();
    }
    std::cout << "seeds " << first << " to " << first + schedules - 1 << ": " << steps
              << " steps, " << acknowledged << " acknowledged, " << reads << " reads, "
              << repairs << " repairs, " << second_losses
              << " second losses right after one\n";
    // A schedule in which little happens would check nothing.
    EXPECT_GE(steps, schedules * steps_per_schedule);
    EXPECT_GT(acknowledged, schedules * 10);
    EXPECT_GT(reads, schedules);
    EXPECT_GT(repairs, schedules / 4);
    EXPECT_GT(second_losses, schedules / 10);
}

struct acknowledge_before_sync : replica_rules
{
    static constexpr bool sync_before_acknowledge = false;
};
struct read_without_round : replica_rules
{
    static constexpr bool read_needs_round = false;
};
struct reused_identity : new_identities
{
    static constexpr bool reuse_lost_identity = true;
};

template <class Rules, class Faults = new_identities>
std::string violation_of(std::uint64_t seed)
{
    return random_schedule<Rules, Faults>(seed).run(steps_per_schedule);
}

TEST(replica_schedule_test, check_detects_acknowledgement_before_the_sync)
{
    EXPECT_THAT(violation_of<acknowledge_before_sync>(1), HasSubstr("two values"));
}

TEST(replica_schedule_test, check_detects_reads_without_a_quorum_round)
{
    EXPECT_THAT(violation_of<read_without_round>(10), HasSubstr("read misses"));
}

TEST(replica_schedule_test, check_detects_votes_of_a_member_without_its_state)
{
    EXPECT_THAT((violation_of<replica_rules, reused_identity>(8)),
                HasSubstr("without its state voted"));
}

} // namespace
} // namespace curranthoist::consensus
