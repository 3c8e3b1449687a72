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
    EXPECT_EQ(read->targets[0].version, "v1");
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

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

// An entry that differs from a good one in one field.
std::string entry_with(const std::string& field, const std::string& value)
{
    std::string entry = good;
    const std::size_t begin = entry.find("\"" + field + "\":") + field.size() + 3;
    return entry.replace(begin, entry.find_first_of(",}", begin) - begin, value);
}

void expect_others_hold(const std::string& odd)
{
    const std::string shown = odd.substr(0, 80);
    for (const bool odd_first : {true, false}) {
        std::string entries = odd_first ? odd : good;
        entries.append(",").append(odd_first ? good : odd);
        const auto read = decode_target_page(page(entries, R"("p-50")"));
        ASSERT_TRUE(read) << shown;
        EXPECT_EQ(read->targets.size(), 1U) << shown;
        EXPECT_EQ(read->rejected_count, 1U) << shown;
        EXPECT_EQ(read->next, "p-50") << shown;
        EXPECT_LT(read->rejected.at(0).size(), 300U) << shown;
    }
}

// Guards against an entry of another writer whose nesting ends the process that reads it.
TEST(target_page_test, a_deeply_nested_entry_is_left_out)
{
    constexpr std::size_t arrays = 1'000'000;
    constexpr std::size_t objects = 200'000;
    const std::string nested_arrays = repeated("[", arrays) + repeated("]", arrays);
    const std::string nested_objects =
        repeated(R"({"a":)", objects) + "1" + repeated("}", objects);
    expect_others_hold(nested_arrays);
    expect_others_hold(nested_objects);
    expect_others_hold(entry_with("slots", nested_arrays));
    expect_others_hold(entry_with("cold_remaining_ms", nested_objects));
}

// Guards against one value that makes the whole list unreadable, so that nobody follows
// it any more.
TEST(target_page_test, an_entry_that_cannot_be_decoded_is_left_out)
{
    expect_others_hold(entry_with("slots", "1e999"));
    expect_others_hold(entry_with("cold_remaining_ms", "1e999"));
    expect_others_hold(entry_with("cold_remaining_ms", "-1e308"));
    expect_others_hold(entry_with("version", "\"\xFF\xFE\""));
    expect_others_hold(entry_with("version", std::string("\"\0\n\"", 4)));
    expect_others_hold(entry_with("version", "nonsense"));
    expect_others_hold(entry_with("slots", repeated("9", 100'000)));
    expect_others_hold("\x01\x02");
}

// Guards against an odd address that a VM connects to.
TEST(target_page_test, an_entry_without_a_usable_address_is_left_out)
{
    for (const char* address :
         {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:99999999999999999999",
          "10.0.0.9:80x", "10.0.0.9", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80",
          "10.0.0.256:80", ":80", ""}) {
        expect_others_hold(entry_with("address", "\"" + std::string(address) + "\""));
    }
}

// Guards against an identifier that ends a header line and adds one of its own.
TEST(target_page_test, an_identifier_with_control_characters_is_left_out)
{
    expect_others_hold(entry_with("id", R"("i-1\r\nAttempt-Id: x")"));
    expect_others_hold(entry_with("service", R"("s\u0000")"));
    expect_others_hold(entry_with("id", "\"" + repeated("i", 1000) + "\""));
}

// Guards against a broken entry that takes the entries behind it along.
TEST(target_page_test, an_entry_without_an_end_is_left_out)
{
    for (const char* odd :
         {R"({"id":"i-9)", R"({"id":["i-9"})", R"({"id":})", R"({"id":"i-9"]})"}) {
        const auto read = decode_target_page(page(std::string(odd) + "," + good));
        ASSERT_TRUE(read) << odd;
        EXPECT_EQ(read->targets.size(), 1U) << odd;
        EXPECT_EQ(read->rejected_count, 1U) << odd;
    }
}

// Guards against a flood of odd entries that costs memory, time or log lines.
TEST(target_page_test, many_odd_entries_cost_little)
{
    const auto read = decode_target_page(page(repeated(R"({"id":7},)", 100'000) + good));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->targets.size(), 1U);
    EXPECT_EQ(read->rejected_count, 100'000U);
    EXPECT_LE(read->rejected.size(), 20U);
    EXPECT_FALSE(decode_target_page(page(repeated(R"({"id":["x"},)", 1000) + good)));
}

// Guards against a page that counts as the last one although it is not.
TEST(target_page_test, a_token_that_is_no_text_makes_no_last_page)
{
    EXPECT_FALSE(decode_target_page(page(good, "7")));
    EXPECT_FALSE(decode_target_page(page(good, R"(["p-50"])")));
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
