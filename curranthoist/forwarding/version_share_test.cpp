#include "curranthoist/forwarding/version_share.hpp"

#include <gtest/gtest.h>

namespace curranthoist::forwarding {
namespace {

// Sends `count` requests with a target of either version at hand; returns how many went
// to the ordered version.
int send(version_share& share, int count, base::instant now)
{
    int sent = 0;
    for (int i = 0; i < count; ++i) {
        const bool ordered = share.allows_next(now);
        share.on_sent(ordered, now);
        sent += ordered ? 1 : 0;
    }
    return sent;
}

// Guards against a version that gets more or fewer requests than its share.
TEST(version_share_test, the_version_gets_its_share)
{
    const base::instant now(1000);
    version_share share(0.5);
    EXPECT_EQ(send(share, 100, now), 0);
    share.set(0.02, now);
    EXPECT_EQ(send(share, 1000, now), 20);
    share.set(0.5, now);
    EXPECT_EQ(send(share, 1000, now), 500);
    share.set(1.0, now);
    EXPECT_EQ(send(share, 1000, now), 1000);
}

// Guards against VMs with one request each that all send it to the version, or none.
TEST(version_share_test, many_vms_with_few_requests_keep_the_share_together)
{
    const base::instant now(1000);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        version_share share(static_cast<double>(i) / 100);
        share.set(0.05, now);
        sent += send(share, 1, now);
    }
    EXPECT_NEAR(sent, 5, 1);
}

// Guards against a version that gets requests from a VM which no longer hears the leader,
// or which was frozen and reads an old answer of it.
TEST(version_share_test, a_share_that_is_too_old_is_none)
{
    const base::instant named(10'000);
    version_share share(0.0);
    share.set(1.0, named);
    EXPECT_TRUE(share.allows_next(named + version_share::max_lifetime));
    const base::instant late = named + version_share::max_lifetime + base::duration(1);
    EXPECT_FALSE(share.is_open(late));
    EXPECT_EQ(send(share, 100, late), 0);
    share.set(0.0, late);
    share.set(1.0, late - base::duration(10));
    EXPECT_FALSE(share.is_open(late));
}

// Guards against a burst to a version whose targets were unusable for a while.
TEST(version_share_test, unused_credit_does_not_add_up)
{
    const base::instant now(1000);
    version_share share(0.0);
    share.set(0.1, now);
    for (int i = 0; i < 1000; ++i) {
        share.on_sent(false, now);
    }
    EXPECT_LE(send(share, 10, now), 2);
}

} // namespace
} // namespace curranthoist::forwarding
