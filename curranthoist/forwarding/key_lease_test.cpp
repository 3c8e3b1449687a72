#include "curranthoist/forwarding/key_lease.hpp"

#include <gtest/gtest.h>

namespace curranthoist::forwarding {
namespace {

using namespace base::literals;

constexpr base::duration bound = 5000_ms;
constexpr base::duration used = 3000_ms;
constexpr base::instant start = base::instant() + 100'000_ms;

// Guards against a VM that is cut off, or was frozen, and goes on to accept keys.
TEST(key_lease_test, it_ends_a_part_of_the_bound_after_the_confirmation)
{
    key_lease lease(bound);
    EXPECT_FALSE(lease.is_valid(start));
    EXPECT_FALSE(lease.has_begun());
    lease.hold(4);
    lease.confirm(4, start);
    EXPECT_TRUE(lease.is_valid(start + used - 1_ms));
    EXPECT_FALSE(lease.is_valid(start + used));
    EXPECT_TRUE(lease.has_begun());
    lease.confirm(4, start + 2000_ms);
    EXPECT_TRUE(lease.is_valid(start + 2000_ms + used - 1_ms));
}

// Guards against a VM that hears of a newer state, lacks it, and accepts keys by its old
// one.
TEST(key_lease_test, a_confirmation_counts_once_the_state_is_held)
{
    key_lease lease(bound);
    lease.hold(4);
    lease.confirm(5, start);
    EXPECT_FALSE(lease.is_valid(start));
    lease.hold(5);
    EXPECT_TRUE(lease.is_valid(start));
}

// Guards against an answer that is overtaken by a later one.
TEST(key_lease_test, an_older_confirmation_shortens_nothing)
{
    key_lease lease(bound);
    lease.hold(9);
    lease.confirm(7, start + 1000_ms);
    lease.confirm(7, start);
    lease.confirm(6, start + 1500_ms);
    EXPECT_TRUE(lease.is_valid(start + 1000_ms + used - 1_ms));
    EXPECT_FALSE(lease.is_valid(start + 1000_ms + used));
}

TEST(key_lease_test, without_a_bound_keys_are_accepted_at_any_time)
{
    EXPECT_TRUE(key_lease(std::nullopt).is_valid(start));
}

} // namespace
} // namespace curranthoist::forwarding
