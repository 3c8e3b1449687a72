#include "curranthoist/platform/target_page.hpp"

#include <gtest/gtest.h>

namespace curranthoist::platform {
namespace {

const std::string good = R"({"service":"s","address":"10.0.0.9:8080","zone":"z",)"
                         R"("version":"v1","slots":2,"state":"ready",)"
                         R"("cold_remaining_ms":1500,"id":"i-1"})";

std::string page(const std::string& entries, const std::string& next = "null")
{
    return R"({"instances":[)" + entries + R"(],"next_page_token":)" + next + "}";
}

// Guards against entries that are read into the wrong field.
TEST(target_page_test, reads_entries_and_the_next_page)
{
    const auto read = decode_target_page(page(good, R"("p-50")"));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->targets.size(), 1U);
    EXPECT_EQ(read->targets[0].id, base::target_id("i-1"));
    EXPECT_EQ(read->targets[0].address, (base::endpoint{"10.0.0.9", 8080}));
    EXPECT_EQ(read->targets[0].remaining_cold_time, base::duration(1500));
    EXPECT_FALSE(read->targets[0].draining);
    EXPECT_EQ(read->next, "p-50");
    EXPECT_TRUE(decode_target_page(page(good))->next.empty());
}

// Guards against an entry of another writer that spoils the list or names a target.
TEST(target_page_test, entries_that_cannot_be_used_are_left_out_and_the_others_hold)
{
    const auto read = decode_target_page(page(
        R"(7,"x",{},{"id":5,"service":"s","address":"10.0.0.9:8080","zone":"z",)"
        R"("state":"ready"},{"id":"i-2","service":"s","address":"nowhere","zone":"z",)"
        R"("state":"ready"},{"id":"i-3","service":"s","address":"10.0.0.9:8080",)"
        R"("zone":"z","state":"resting"},{"id":"i-4","service":"s",)"
        R"("address":"10.0.0.9:8080","zone":"z","state":"ready",)"
        R"("cold_remaining_ms":"soon"},)" +
        good));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->targets.size(), 1U);
    EXPECT_EQ(read->rejected.size(), 7U);
}

// Guards against bytes that pass for an empty list, which would take every target away.
TEST(target_page_test, bytes_that_are_no_page_are_no_list)
{
    EXPECT_FALSE(decode_target_page(""));
    EXPECT_FALSE(decode_target_page("{}"));
    EXPECT_FALSE(decode_target_page(page(good).substr(0, 50)));
}

// Guards against a token whose letters change the request.
TEST(target_page_test, a_token_is_escaped)
{
    EXPECT_EQ(target_page_path(""), "/instances");
    EXPECT_EQ(target_page_path("p 5&x=\xFF"), "/instances?page_token=p%205%26x%3D%FF");
}

} // namespace
} // namespace curranthoist::platform
