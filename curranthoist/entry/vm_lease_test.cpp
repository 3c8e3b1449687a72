#include "curranthoist/base/manual_clock.hpp"
#include "curranthoist/entry/stop_controller.hpp"
#include "curranthoist/entry/vm_lease.hpp"

#include <gtest/gtest.h>

namespace curranthoist::entry {
namespace {

using namespace base::literals;

class vm_lease_test : public testing::Test
{
protected:
    bool valid(std::uint64_t applied = 7) const
    {
        return clock_.now() < lease_.end(base::revision(applied));
    }

    base::manual_clock clock_;
    vm_lease lease_;
};

// A lease counted from the reply would outlast the leader's patience.
TEST_F(vm_lease_test, counts_from_the_moment_the_heartbeat_was_sent)
{
    const std::uint64_t sequence = lease_.on_heartbeat_sent(clock_.now());
    clock_.advance(3_s);
    EXPECT_TRUE(lease_.on_reply(sequence, true, base::revision(7)));
    EXPECT_TRUE(valid());
    clock_.advance(999_ms);
    EXPECT_TRUE(valid());
    clock_.advance(1_ms);
    EXPECT_FALSE(valid());
}

// R10: a restarted VM would route by a configuration that isn't in force any more.
TEST_F(vm_lease_test, begins_only_with_the_revision_of_the_first_reply)
{
    lease_.on_reply(lease_.on_heartbeat_sent(clock_.now()), true, base::revision(7));
    EXPECT_FALSE(valid(6));
    lease_.on_reply(lease_.on_heartbeat_sent(clock_.now()), true, base::revision(9));
    EXPECT_TRUE(valid(7));
}

TEST_F(vm_lease_test, is_not_extended_by_a_refused_or_repeated_or_old_reply)
{
    const std::uint64_t first = lease_.on_heartbeat_sent(clock_.now());
    lease_.on_reply(first, true, base::revision(7));
    clock_.advance(2_s);
    const std::uint64_t second = lease_.on_heartbeat_sent(clock_.now());
    EXPECT_TRUE(lease_.on_reply(second, false, base::revision(7)));
    EXPECT_FALSE(lease_.on_reply(second, true, base::revision(7)));
    const std::uint64_t third = lease_.on_heartbeat_sent(clock_.now());
    lease_.on_session_opened();
    EXPECT_FALSE(lease_.on_reply(third, true, base::revision(7)));
    clock_.advance(2_s);
    EXPECT_FALSE(valid());
}

TEST_F(vm_lease_test, names_the_oldest_heartbeat_without_a_reply)
{
    EXPECT_EQ(lease_.oldest_unanswered(), std::nullopt);
    const base::instant sent = clock_.now();
    lease_.on_heartbeat_sent(sent);
    clock_.advance(500_ms);
    const std::uint64_t second = lease_.on_heartbeat_sent(clock_.now());
    EXPECT_EQ(lease_.oldest_unanswered(), sent);
    lease_.on_reply(second, true, base::revision(1));
    EXPECT_EQ(lease_.oldest_unanswered(), std::nullopt);
}

class stop_controller_test : public testing::Test
{
protected:
    stop_phase after(base::duration by, std::size_t running, std::size_t owned)
    {
        clock_.advance(by);
        stop_.on_time(clock_.now(), running, owned);
        return stop_.phase();
    }

    base::manual_clock clock_;
    stop_controller stop_{1_s, 5_s};
};

// R9: a stop that refuses before the load balancer has noticed, or ends before requests.
TEST_F(stop_controller_test, serves_then_finishes_then_releases)
{
    EXPECT_EQ(after(10_s, 3, 2), stop_phase::serving);
    stop_.begin(clock_.now());
    EXPECT_EQ(after(999_ms, 3, 2), stop_phase::leaving);
    EXPECT_FALSE(stop_.refusing());
    EXPECT_EQ(after(1_ms, 3, 2), stop_phase::finishing);
    EXPECT_TRUE(stop_.refusing());
    EXPECT_EQ(after(1_s, 1, 2), stop_phase::finishing);
    EXPECT_EQ(after(1_ms, 0, 2), stop_phase::releasing);
    EXPECT_EQ(after(1_ms, 0, 1), stop_phase::releasing);
    EXPECT_EQ(after(1_ms, 0, 0), stop_phase::finished);
}

TEST_F(stop_controller_test, gives_up_a_stop_that_hangs)
{
    stop_.begin(clock_.now());
    after(1_s, 0, 1);
    stop_.begin(clock_.now());
    EXPECT_EQ(after(3999_ms, 0, 1), stop_phase::releasing);
    EXPECT_EQ(after(1_ms, 0, 1), stop_phase::overdue);
}

} // namespace
} // namespace curranthoist::entry
