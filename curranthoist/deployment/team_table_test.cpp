#include "curranthoist/deployment/team_table.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace curranthoist::deployment {
namespace {

// Guards against a request that runs for another team than that of its key.
TEST(team_table_test, each_key_names_its_team)
{
    const std::vector<team> teams{{"a", {"key-1", "key-2"}, 1, 0, 0},
                                  {"b", {"key-3"}, 0, 5, 5}};
    const team_table table(teams);
    EXPECT_EQ(table.find("key-1"), &teams[0]);
    EXPECT_EQ(table.find("key-2"), &teams[0]);
    EXPECT_EQ(table.find("key-3"), &teams[1]);
    for (const char* const unknown : {"", "key-", "key-4", "key-33", "KEY-1"}) {
        EXPECT_EQ(table.find(unknown), nullptr) << unknown;
    }
    EXPECT_TRUE(table.requires_keys());
}

// Guards against a configuration whose last team was taken out and that admits every
// request, as one without a list of teams does.
TEST(team_table_test, an_empty_list_of_teams_requires_keys_and_knows_none)
{
    const team_table emptied{std::span<const team>()};
    EXPECT_TRUE(emptied.requires_keys());
    EXPECT_EQ(emptied.find("key-1"), nullptr);
    EXPECT_EQ(emptied.find(""), nullptr);
    EXPECT_FALSE(team_table(std::nullopt).requires_keys());
}

} // namespace
} // namespace curranthoist::deployment
