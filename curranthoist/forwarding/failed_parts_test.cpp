#include "curranthoist/base/random_source.hpp"
#include "curranthoist/forwarding/failed_parts.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace curranthoist::forwarding {
namespace {

using base::duration;
using base::instant;

// Guards against a report for each of many parts that fail at once, and against a part
// that waits for others which fail later and later.
TEST(failed_parts_test, what_fails_within_a_short_time_is_reported_together)
{
    failed_parts parts;
    EXPECT_FALSE(parts.due());
    parts.add(4, instant(100));
    parts.add(7, instant(102));
    EXPECT_EQ(parts.due(), instant(100) + failed_parts::collect_time);
    EXPECT_EQ(parts.take(), (std::vector<std::size_t>{4, 7}));
    EXPECT_FALSE(parts.due());
    parts.add(9, instant(120));
    EXPECT_EQ(parts.due(), instant(120) + failed_parts::collect_time);
}

// Replays queries to 135 shards of busy targets, a sixth of which reset their connections
// when they have run the part. Guards against a first report that comes so late that the
// second answers miss the objective.
TEST(failed_parts_test, a_query_lacks_fewer_shards_than_with_the_first_report_only)
{
    constexpr int queries = 200;
    constexpr int shards = 135;
    constexpr double failing_share = 1.0 / 6;
    constexpr duration first_report{120};
    constexpr duration answer_leaves{280};
    base::random_source random(1);
    const auto answer_time = [&random] {
        constexpr double mean_wait_ms = 60;
        const double wait_ms = -mean_wait_ms * std::log(1 - random.unit());
        return duration(20 + static_cast<std::int64_t>(wait_ms));
    };
    int lacking = 0;
    int lacking_with_first_report = 0;
    for (int i = 0; i < queries * shards; ++i) {
        const duration first = answer_time();
        const duration second = answer_time();
        if (random.unit() >= failing_share) {
            continue;
        }
        failed_parts parts;
        parts.add(0, instant() + first);
        const duration reported = *parts.due() - instant();
        lacking +=
            std::min(reported, std::max(first, first_report)) + second > answer_leaves
                ? 1
                : 0;
        lacking_with_first_report +=
            std::max(first, first_report) + second > answer_leaves ? 1 : 0;
    }
    RecordProperty("lacking", lacking);
    RecordProperty("lacking_with_first_report", lacking_with_first_report);
    EXPECT_LT(lacking, lacking_with_first_report);
}

} // namespace
} // namespace curranthoist::forwarding
