#include "curranthoist/admission/target_admission.hpp"

#include <gtest/gtest.h>

namespace curranthoist::admission {
namespace {

using namespace base::literals;

TEST(target_admission_policy_test, the_baselines_are_selected_by_name)
{
    const auto limits = configured_limits::named("none");
    const auto warmup = configured_warmup::named("immediate");
    ASSERT_TRUE(limits && warmup);
    EXPECT_FALSE(configured_limits::named("Owned"));
    EXPECT_FALSE(configured_warmup::named(""));
    target_admission<> admission({}, *limits, *warmup);
    const base::instant now(1000);
    admission.on_lease(now + 4_s);
    for (std::uint64_t call = 1; call <= 50; ++call) {
        const auto actions = admission.enqueue(now, {call, {}, now + 500_ms});
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_TRUE(std::holds_alternative<start_call>(actions[0]));
    }
}

} // namespace
} // namespace curranthoist::admission
