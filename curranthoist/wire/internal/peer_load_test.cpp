#include "curranthoist/wire/internal/peer_load.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace curranthoist::wire::internal {
namespace {

constexpr base::instant at(std::int64_t ms)
{
    return base::instant(ms);
}

constexpr base::instant now = at(20'000);

// A process that is in use: its last message and its last byte moved just now.
peer_load in_use()
{
    return {.greeted = true, .opened = at(0), .last_message = now, .last_progress = now};
}

// Guards against a crowd without hello that keeps processes of the system out.
TEST(peer_load_test, connections_without_a_message_make_room_first_the_oldest_of_them)
{
    peer_load old = in_use();
    old.greeted = false;
    old.opened = at(19'000);
    peer_load fresh = old;
    fresh.opened = at(19'900);
    peer_load silent = in_use();
    silent.last_message = at(1000);
    EXPECT_EQ(peer_to_close_for_connection(std::vector{silent, fresh, old}, now), 2U);
    EXPECT_EQ(peer_to_close_for_connection(std::vector{in_use(), silent}, now), 1U);
    EXPECT_EQ(peer_to_close_for_connection(std::vector{in_use(), in_use()}, now),
              std::nullopt);
}

// Guards against frames that never end, which take the memory of those that progress.
TEST(peer_load_test, memory_comes_from_those_that_progress_least)
{
    peer_load unknown = in_use();
    unknown.greeted = false;
    unknown.held_bytes = 5000;
    peer_load stalled = in_use();
    stalled.held_bytes = 100'000;
    stalled.last_progress = at(19'400);
    peer_load slow = in_use();
    slow.held_bytes = 100'000;
    slow.arrived_bytes = 100'000;
    slow.frame_began = at(15'000);
    peer_load fast = slow;
    fast.frame_began = at(19'900);
    peer_load reading = in_use();
    reading.held_bytes = 100'000;
    EXPECT_EQ(peer_to_close_for_memory(std::vector{fast, slow, stalled, unknown}, now),
              3U);
    EXPECT_EQ(peer_to_close_for_memory(std::vector{fast, slow, stalled}, now), 2U);
    EXPECT_EQ(peer_to_close_for_memory(std::vector{reading, fast, slow}, now), 2U);
    EXPECT_EQ(peer_to_close_for_memory(std::vector{reading, in_use()}, now),
              std::nullopt);
}

} // namespace
} // namespace curranthoist::wire::internal
