#include "curranthoist/frontd/process_limits.hpp"
#include "curranthoist/frontd/send_memory.hpp"

#include <gtest/gtest.h>

#include <cstddef>

namespace curranthoist::frontd {
namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

platform::node_settings settings_with(std::size_t memory_mb)
{
    platform::node_settings settings;
    settings.callers = base::endpoint{"127.0.0.1", 8104};
    settings.memory_bytes = memory_mb * bytes_per_mb;
    settings.max_descriptors = 4100;
    return settings;
}

// Guards against limits that are sound one by one and together exceed the memory.
TEST(process_limits_test, all_limits_together_leave_room_for_the_program)
{
    // More than an idle front has resident.
    constexpr std::size_t program_bytes = 12 * bytes_per_mb;
    for (const std::size_t memory_mb : {64U, 112U, 160U, 260U}) {
        const platform::node_settings settings = settings_with(memory_mb);
        EXPECT_LE(max_held_bytes(settings) + program_bytes, settings.memory_bytes)
            << memory_mb << " MB";
    }
}

// Guards against a query with a long head that is counted like a short one although each
// send has its own copies of the head.
TEST(process_limits_test, long_heads_count_with_each_send)
{
    constexpr std::size_t shards = 80;
    constexpr std::size_t long_head = 14'000;
    EXPECT_EQ(counted_sends({.sends = 1, .head_bytes = 400}), 1U);
    EXPECT_EQ(counted_sends({.sends = shards, .head_bytes = 400}), shards);
    EXPECT_GE(counted_sends({.sends = shards, .head_bytes = long_head}) * bytes_for_send,
              shards * 2 * long_head);
}

// Guards against limits that a single request inside the pages' limits meets.
TEST(process_limits_test, the_largest_single_request_fits)
{
    constexpr std::size_t max_shards = 500;
    const auto settings = settings_with(112);
    const std::size_t all = open_request_options(settings).max_sends;
    EXPECT_LT(counted_sends({.sends = 1, .head_bytes = 16'384}), all / 8);
    EXPECT_LT(counted_sends({.sends = max_shards, .head_bytes = 1024}), all * 7 / 8);
    EXPECT_GE(caller_options(settings, nullptr).max_request_memory,
              max_caller_body_bytes);
}

} // namespace
} // namespace curranthoist::frontd
