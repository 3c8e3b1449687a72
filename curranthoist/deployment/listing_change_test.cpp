#include "curranthoist/deployment/listing_change.hpp"

#include <gtest/gtest.h>

namespace curranthoist::deployment {
namespace {

listed_target make_target(const std::string& id, std::int64_t cold_ms = 0)
{
    return {base::target_id(id),
            base::service_id("s"),
            base::zone_id("z"),
            {"10.0.0.1", 80},
            false,
            base::duration(cold_ms)};
}

std::vector<std::string> target_ids(const listing_change& change)
{
    std::vector<std::string> result;
    for (const listed_target& listed : change.targets) {
        result.push_back(listed.id.str());
    }
    return result;
}

// Guards against a new or changed target that is missing from a change, and against a
// target that fronts continue to use after the list no longer names it.
TEST(listing_change_test, names_new_changed_and_removed_targets)
{
    const std::vector<listed_target> before{make_target("b"), make_target("c"),
                                            make_target("e")};
    std::vector<listed_target> after{make_target("a"), make_target("c"),
                                     make_target("d")};
    after[1].draining = true;
    const listing_change change = diff_listings(before, after, base::duration(900));
    EXPECT_FALSE(change.complete);
    EXPECT_EQ(target_ids(change), (std::vector<std::string>{"a", "c", "d"}));
    EXPECT_EQ(change.removed,
              (std::vector<base::target_id>{base::target_id("b"), base::target_id("e")}));
}

// Guards against a changed version that fronts don't learn of: they would judge the
// target's answers as those of another version.
TEST(listing_change_test, a_changed_version_is_a_change)
{
    const std::vector<listed_target> before{make_target("a")};
    std::vector<listed_target> after{make_target("a")};
    after[0].version = "v2";
    EXPECT_EQ(diff_listings(before, after, base::duration(900)).targets.size(), 1U);
}

// Guards against a change at each reading while a target warms up, and against a missing
// change when it is cold again: the remaining time is then shorter than before, but the
// warm-up ends later.
TEST(listing_change_test, a_warm_up_is_a_change_only_if_it_ends_later)
{
    const auto changes = [](std::int64_t before_ms, std::int64_t after_ms) {
        const std::vector<listed_target> before{make_target("a", before_ms)};
        std::vector<listed_target> after{make_target("a", after_ms)};
        return diff_listings(before, after, base::duration(900)).targets.size();
    };
    EXPECT_EQ(changes(2000, 1100), 0U);
    EXPECT_EQ(changes(2000, 1190), 0U);
    EXPECT_EQ(changes(2000, 0), 0U);
    EXPECT_EQ(changes(500, 0), 0U);
    EXPECT_EQ(changes(2000, 1900), 1U);
    EXPECT_EQ(changes(3000, 3000), 1U);
    EXPECT_EQ(changes(0, 3000), 1U);
}

// Guards against an end of a warm-up that moves by less than the tolerance at each
// reading, so that no single reading reports it.
TEST(listing_change_test, small_differences_do_not_add_up)
{
    std::vector<listed_target> before{make_target("a", 3000)};
    std::size_t changes = 0;
    for (int i = 0; i < 4; ++i) {
        std::vector<listed_target> after{make_target("a", 3000 - i * 10)};
        changes += diff_listings(before, after, base::duration(80)).targets.size();
        before = after;
    }
    EXPECT_EQ(changes, 2U);
}

} // namespace
} // namespace curranthoist::deployment
