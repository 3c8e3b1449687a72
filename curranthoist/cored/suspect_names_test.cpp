#include "curranthoist/cored/suspect_names.hpp"

#include <gtest/gtest.h>

namespace curranthoist::cored {
namespace {

using names = std::vector<std::string>;

// Guards against a front that avoids a target which has recovered, or misses a suspect.
TEST(suspect_names_test, a_change_leads_from_the_held_list_to_the_newest)
{
    suspect_names suspects(100);
    suspects.set({"a", "b", "c"});
    const std::uint64_t held = suspects.number();
    suspects.set({"b", "c"});
    suspects.set({"b", "d"});
    const auto change = suspects.since(held);
    EXPECT_FALSE(change.is_whole);
    EXPECT_EQ(change.added, (names{"d"}));
    EXPECT_EQ(change.removed, (names{"a", "c"}));
}

// Guards against a change of a list that the front does not hold: one of an earlier
// leader, or one that is too old.
TEST(suspect_names_test, an_unknown_list_is_replaced_by_the_whole)
{
    suspect_names suspects(100);
    suspects.set({"a"});
    const std::uint64_t held = suspects.number();
    EXPECT_TRUE(suspects.since(7).is_whole);
    EXPECT_EQ(suspects.since(7).added, (names{"a"}));
    for (std::size_t i = 0; i < suspect_names::max_lists; ++i) {
        suspects.set({"b" + std::to_string(i)});
    }
    EXPECT_TRUE(suspects.since(held).is_whole);
}

// Guards against answers that repeat an unchanged list under a new number.
TEST(suspect_names_test, equal_names_keep_their_number)
{
    suspect_names suspects(100);
    suspects.set({"a"});
    const std::uint64_t held = suspects.number();
    suspects.set({"a"});
    EXPECT_EQ(suspects.number(), held);
}

} // namespace
} // namespace curranthoist::cored
