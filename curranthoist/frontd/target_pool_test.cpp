#include "curranthoist/frontd/target_pool.hpp"

#include <ev++.h>
#include <gtest/gtest.h>

#include <memory>

namespace curranthoist::frontd {
namespace {

// Guards against a call that is taken for one of the client that follows under the same
// id: that one would be cancelled, and the call itself reported as not sent.
TEST(target_pool_test, a_number_names_no_call_of_a_later_client_of_the_same_target)
{
    ev::dynamic_loop loop;
    target_pool pool(loop, std::make_shared<http::memory_account>(1024 * 1024), 10);
    const base::target_id id("a");
    const auto ignore = [](const http::target_result&) {};
    const auto earlier = pool.client(id, {"127.0.0.1", 1}, 1).start({}, ignore);
    pool.retire({id});
    http::target_client& later = pool.client(id, {"127.0.0.1", 1}, 1);
    const auto number = later.start({}, ignore);
    EXPECT_NE(number, earlier);
    EXPECT_FALSE(later.withdraw(earlier));
    EXPECT_TRUE(later.withdraw(number));
}

} // namespace
} // namespace curranthoist::frontd
