#include "curranthoist/http/internal/connection_load.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace curranthoist::http::internal {
namespace {

using namespace base::literals;

constexpr base::instant start = base::instant() + 100'000_ms;

connection_load load(connection_state state, base::duration began,
                     base::duration last_progress, std::size_t bytes = 0)
{
    return {state, start - began, start - last_progress, bytes};
}

// Guards against a crowd that takes all connections and keeps new callers out.
TEST(connection_load_test, the_longest_idle_connection_makes_room_first)
{
    const std::vector<connection_load> loads{
        load(connection_state::receiving, 9000_ms, 8000_ms, 10),
        load(connection_state::idle, 300_ms, 300_ms),
        load(connection_state::idle, 5000_ms, 5000_ms),
        load(connection_state::running, 9000_ms, 9000_ms)};
    EXPECT_EQ(connection_to_close(loads, shortage::connections, start), 2U);
}

// Guards against giving up the body of a caller that sends at once for those of callers
// that stop just short of their end.
TEST(connection_load_test, the_slowest_body_makes_room_for_others)
{
    const std::vector<connection_load> loads{
        load(connection_state::receiving, 10_ms, 0_ms, 30'000),
        load(connection_state::receiving, 4000_ms, 3900_ms, 262'134),
        load(connection_state::receiving, 4000_ms, 0_ms, 400'000),
        load(connection_state::idle, 9000_ms, 9000_ms)};
    EXPECT_EQ(connection_to_close(loads, shortage::request_memory, start), 1U);
}

// Guards against cutting responses that their callers are reading.
TEST(connection_load_test, only_a_response_that_does_not_move_makes_room)
{
    const std::vector<connection_load> loads{
        load(connection_state::sending, 9000_ms, 400_ms),
        load(connection_state::sending, 3000_ms, 2000_ms),
        load(connection_state::sending, 2000_ms, 600_ms)};
    EXPECT_EQ(connection_to_close(loads, shortage::response_memory, start), 1U);
    EXPECT_EQ(
        connection_to_close(std::span(loads).first(1), shortage::response_memory, start),
        std::nullopt);
}

// Guards against breaking off requests that targets are at work on.
TEST(connection_load_test, running_requests_are_never_given_up)
{
    const std::vector<connection_load> loads{
        load(connection_state::running, 60'000_ms, 60'000_ms, 262'144)};
    for (const shortage what :
         {shortage::connections, shortage::request_memory, shortage::response_memory}) {
        EXPECT_EQ(connection_to_close(loads, what, start), std::nullopt);
    }
}

} // namespace
} // namespace curranthoist::http::internal
