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
    EXPECT_TRUE(team_table({}).empty());
}

} // namespace
} // namespace curranthoist::deployment
