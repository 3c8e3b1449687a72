#include "curranthoist/base/latency_tracker.hpp"
#include "curranthoist/routing/configured_choice.hpp"
#include "curranthoist/routing/hedge_budget.hpp"
#include "curranthoist/routing/hedging.hpp"

#include <gtest/gtest.h>

#include <array>
#include <limits>

namespace curranthoist::routing {
namespace {

using namespace base::literals;

class replica_choice_test : public testing::Test
{
public:
    replica_choice_test()
    {
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            candidates[i] = {&replicas[i], {0, 0, 10_ms, now}};
        }
    }

    template <class Policy>
    std::array<int, 2> choice_counts(Policy policy)
    {
        std::array<int, 2> chosen{};
        for (int i = 0; i < 1000; ++i) {
            ++chosen[policy.choose(candidates, now, random)];
        }
        return chosen;
    }

    const base::instant now{100'000};
    base::random_source random{1};
    std::array<replica, 2> replicas;
    std::array<candidate, 2> candidates;
};

TEST_F(replica_choice_test, a_straggling_replica_is_avoided)
{
    candidates[0].load.service_time = 100_ms;
    EXPECT_EQ(choice_counts(power_of_two())[0], 0);
}

TEST_F(replica_choice_test, own_parts_count_while_reports_lag)
{
    candidates[0].load.outstanding = 3;
    candidates[1].load.reported = 1;
    EXPECT_EQ(choice_counts(power_of_two())[0], 0);
}

TEST_F(replica_choice_test, a_replica_without_work_is_tried_so_that_it_can_recover)
{
    replicas[0].cold = true;
    candidates[0].load.service_time = 500_ms;
    EXPECT_EQ(choice_counts(power_of_two())[0], 0);
    candidates[0].load.last_sent = now - 2_s;
    EXPECT_EQ(choice_counts(power_of_two())[0], 1000);
    candidates[1].load.last_sent = now - 3_s;
    EXPECT_EQ(choice_counts(power_of_two())[0], 0) << "the longest unused first";
    candidates[0].load.outstanding = 1;
    EXPECT_EQ(choice_counts(power_of_two())[0], 0) << "one at a time";
}

// Guards against a cold replica that warms up too slowly because few VMs send it work,
// and against many VMs that together send a cold replica more work than it can handle.
TEST_F(replica_choice_test, the_vms_together_send_a_cold_replica_its_initial_warmup_rate)
{
    replicas[0].cold = true;
    candidates[0].load.service_time = 500_ms;
    candidates[0].load.last_sent = now - 500_ms;
    power_of_two policy;
    policy.set_vm_count(2);
    EXPECT_EQ(choice_counts(policy)[0], 1000);
    policy.set_vm_count(10);
    EXPECT_EQ(choice_counts(policy)[0], 0);
    candidates[0].load.last_sent = now - 2_s;
    EXPECT_EQ(choice_counts(policy)[0], 1000);
}

TEST_F(replica_choice_test, the_baselines_ignore_load)
{
    candidates[0].load.service_time = 100_ms;
    EXPECT_EQ(choice_counts(*configured_choice::named("round_robin"))[0], 500);
    EXPECT_NEAR(choice_counts(*configured_choice::named("random"))[0], 500, 100);
    EXPECT_EQ(choice_counts(*configured_choice::named("power_of_two"))[0], 0);
    EXPECT_FALSE(configured_choice::named("best"));
}

TEST(hedge_budget_test, extra_sends_stay_under_5_percent_and_bursts_are_bounded)
{
    hedge_budget budget;
    EXPECT_FALSE(budget.take()) << "the cap holds from the first send";
    budget.on_first_attempts(19);
    EXPECT_FALSE(budget.take());
    budget.on_first_attempts(1);
    EXPECT_TRUE(budget.take());
    EXPECT_FALSE(budget.take());
    budget.on_first_attempts(100'000);
    int taken = 0;
    while (budget.take()) {
        ++taken;
    }
    EXPECT_EQ(taken, 20);
}

// Guards against ordinary hedges that use up the tokens that retries after a fault need.
TEST(hedge_budget_test, hedges_leave_the_reserve_to_retries)
{
    hedge_budget budget;
    budget.on_first_attempts(100'000);
    int hedges = 0;
    while (budget.take_for_hedge()) {
        ++hedges;
    }
    EXPECT_EQ(hedges, 10);
    int retries = 0;
    while (budget.take()) {
        ++retries;
    }
    EXPECT_EQ(retries, 10);
}

TEST(latency_tracker_test, a_few_samples_do_not_start_early_hedges)
{
    base::latency_tracker tracker;
    for (int i = 0; i < 10; ++i) {
        tracker.add(1_ms);
    }
    EXPECT_EQ(tracker.p95(), 100_ms);
    for (int i = 0; i < 118; ++i) {
        tracker.add(i % 10 == 0 ? 50_ms : 5_ms);
    }
    EXPECT_EQ(tracker.p95(), 50_ms);
}

TEST(hedging_test, a_loaded_replica_gets_no_hedge)
{
    const auto hedge = configured_hedging::named("p95");
    ASSERT_TRUE(hedge);
    EXPECT_TRUE(hedge->accepts({1, 0, {}, {}}));
    EXPECT_FALSE(hedge->accepts({1, 1, {}, {}}));
    EXPECT_EQ(hedge->delay(30_ms), 60_ms);
    EXPECT_FALSE(configured_hedging::named("none")->delay(30_ms));
    EXPECT_FALSE(configured_hedging::named("p90"));
}

// Guards against an overflow: a peer's reply may report any load values. Their product
// overflowed, and the target with the longest queue looked idle.
TEST_F(replica_choice_test, the_largest_reported_load_is_not_taken_for_an_idle_target)
{
    replicas[0].cold = true;
    candidates[0].load.reported = std::numeric_limits<std::uint32_t>::max();
    candidates[0].load.outstanding = 1;
    candidates[0].load.service_time =
        base::duration(std::numeric_limits<std::int64_t>::max());
    EXPECT_EQ(choice_counts(power_of_two())[0], 0);
}

} // namespace
} // namespace curranthoist::routing
