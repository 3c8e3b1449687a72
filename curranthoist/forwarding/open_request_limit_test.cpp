#include "curranthoist/forwarding/open_request_limit.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace curranthoist::forwarding {
namespace {

// Guards against queries that take all the memory that single requests need.
TEST(open_request_limit_test, queries_leave_room_for_single_requests)
{
    open_request_limit limit({.max_requests = 100, .max_sends = 800});
    std::vector<std::shared_ptr<open_request_limit::place>> places;
    while (auto place = limit.take(90)) {
        places.push_back(std::move(place));
    }
    EXPECT_EQ(limit.sends(), 630U);
    EXPECT_NE(limit.take(1), nullptr);
    places.pop_back();
    EXPECT_NE(limit.take(90), nullptr);
}

// Guards against a crowd of single requests that occupies every connection.
TEST(open_request_limit_test, the_number_of_requests_is_bounded)
{
    open_request_limit limit({.max_requests = 2, .max_sends = 800});
    const auto first = limit.take(1);
    auto second = limit.take(1);
    EXPECT_EQ(limit.take(1), nullptr);
    second.reset();
    EXPECT_NE(limit.take(1), nullptr);
}

// Guards against a deployment whose queries have more shards than a small VM's limit.
TEST(open_request_limit_test, a_query_that_is_alone_is_always_served)
{
    open_request_limit limit({.max_requests = 100, .max_sends = 50});
    const auto query = limit.take(270);
    EXPECT_NE(query, nullptr);
    EXPECT_EQ(limit.take(270), nullptr);
}

} // namespace
} // namespace curranthoist::forwarding
