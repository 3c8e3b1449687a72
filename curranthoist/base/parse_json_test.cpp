#include "curranthoist/base/parse_json.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace curranthoist::base {
namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against a document whose nesting uses up the stack when it is copied.
TEST(parse_json_test, discards_what_is_nested_too_deeply)
{
    constexpr std::size_t many_levels = 1'000'000;
    EXPECT_FALSE(parse_json(nested(max_json_depth)).is_discarded());
    EXPECT_TRUE(parse_json(nested(max_json_depth + 1)).is_discarded());
    EXPECT_TRUE(parse_json(nested(many_levels)).is_discarded());
    EXPECT_TRUE(parse_json(std::string(many_levels, '{')).is_discarded());
}

// Guards against a text of legal size whose values take many times its memory.
TEST(parse_json_test, discards_what_has_too_many_values)
{
    const auto list = [](std::size_t values) {
        std::string text = "[";
        for (std::size_t i = 1; i < values; ++i) {
            text += "1,";
        }
        return text + "1]";
    };
    EXPECT_FALSE(parse_json(list(max_json_values - 1)).is_discarded());
    EXPECT_TRUE(parse_json(list(max_json_values + 1)).is_discarded());
}

TEST(parse_json_test, counts_no_brackets_of_texts_and_of_siblings)
{
    const std::string brackets(max_json_depth + 1, '[');
    EXPECT_EQ(parse_json("{\"a\":\"" + brackets + "\"}").at("a"), brackets);
    EXPECT_EQ(parse_json("[\"\\\"" + brackets + "\"]").at(0), "\"" + brackets);
    std::string siblings = "[1";
    for (std::size_t i = 0; i <= max_json_depth; ++i) {
        siblings += ",[{}]";
    }
    EXPECT_EQ(parse_json(siblings + "]").size(), max_json_depth + 2);
}

TEST(parse_json_test, discards_what_is_not_json)
{
    for (const char* const text : {"", "[", "]", "{\"a\"", "\"", "1e999", "[1]]"}) {
        EXPECT_TRUE(parse_json(text).is_discarded()) << text;
    }
}

} // namespace
} // namespace curranthoist::base
