#include "curranthoist/forwarding/extra_send_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace curranthoist::forwarding {
namespace {

const base::service_id service("s");

// Guards against more extra sends in a window than this VM may make.
TEST(extra_send_budget_test, sends_stay_within_the_ratio_and_the_part_of_the_slack)
{
    extra_send_budget budget({0.2, 90.0, base::duration(10'000)});
    budget.set_vm_count(9);
    const base::instant now(100'000);
    for (int i = 0; i < 100; ++i) {
        budget.on_request(service, now);
    }
    std::size_t taken = 0;
    while (budget.take(service, now)) {
        ++taken;
    }
    EXPECT_LE(taken, 30U);
    EXPECT_GE(taken, 20U);
}

// Guards against extra sends that are no longer counted while some window still contains
// them.
TEST(extra_send_budget_test, no_window_holds_more_than_the_limit)
{
    extra_send_budget budget({0.0, 10.0, base::duration(10'000)});
    std::vector<std::int64_t> taken;
    for (std::int64_t time_ms = 0; time_ms < 60'000; time_ms += 50) {
        if (budget.take(service, base::instant(time_ms))) {
            taken.push_back(time_ms);
        }
    }
    for (const std::int64_t window_start_ms : taken) {
        const auto in_window = std::count_if(
            taken.begin(), taken.end(), [window_start_ms](std::int64_t time_ms) {
                return time_ms >= window_start_ms && time_ms <= window_start_ms + 10'000;
            });
        EXPECT_LE(in_window, 10);
    }
    EXPECT_GE(taken.size(), 32U);
}

// Guards against one service that uses up the extra sends of another.
TEST(extra_send_budget_test, services_are_counted_apart)
{
    extra_send_budget budget({0.0, 1.25, base::duration(10'000)});
    EXPECT_TRUE(budget.take(service, base::instant(0)));
    EXPECT_FALSE(budget.take(service, base::instant(0)));
    EXPECT_TRUE(budget.take(base::service_id("t"), base::instant(0)));
    EXPECT_EQ(budget.used(service), 1U);
}

} // namespace
} // namespace curranthoist::forwarding
