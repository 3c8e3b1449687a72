#include "curranthoist/forwarding/record_merge.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace curranthoist::forwarding {
namespace {

std::string record(char first)
{
    return std::string(1, first) + std::string(record_bytes - 1, '.');
}

std::string merged(const std::vector<std::string>& parts, std::size_t count)
{
    const std::vector<std::string_view> views(parts.begin(), parts.end());
    return merge_records(views, count);
}

// Guards against a response that lacks a greater record of another part.
TEST(record_merge_test, the_greatest_records_of_all_parts_come_first)
{
    EXPECT_EQ(merged({record('a') + record('d'), record('c') + record('b')}, 3),
              record('d') + record('c') + record('b'));
}

// Guards against a comparison of signed bytes.
TEST(record_merge_test, bytes_are_compared_as_unsigned_values)
{
    EXPECT_EQ(merged({record('a'), record('\xF0')}, 1), record('\xF0'));
}

// Guards against records that are dropped because another part has an equal record.
TEST(record_merge_test, equal_records_all_count)
{
    EXPECT_EQ(merged({record('a') + record('a'), record('a')}, 5),
              record('a') + record('a') + record('a'));
}

// Guards against a remainder that is treated as a record.
TEST(record_merge_test, a_short_remainder_is_no_record)
{
    EXPECT_EQ(merged({record('a') + "zzz", "zzzzzzzzzzzzzzz", ""}, 5), record('a'));
}

} // namespace
} // namespace curranthoist::forwarding
