#include "curranthoist/forwarding/zone_answer_counts.hpp"

#include <gtest/gtest.h>

namespace curranthoist::forwarding {
namespace {

using base::duration;
using counts = std::vector<deployment::zone_answers>;

const base::zone_id zone_a("a");
constexpr duration usual{30};

// Guards against a zone that looks fast because its targets fail at once.
TEST(zone_answer_counts_test, a_failure_takes_as_long_as_the_request_that_follows_it)
{
    zone_answer_counts counted;
    counted.add(zone_a, response_kind::success, duration(20), usual);
    counted.add(zone_a, response_kind::not_run, duration(1), usual);
    EXPECT_EQ(counted.counts(), (counts{{zone_a, 1, 50}}));
}

// Guards against a zone that looks fast because the late ones of its parts are cancelled.
TEST(zone_answer_counts_test, the_time_of_cancelled_parts_counts)
{
    zone_answer_counts counted;
    counted.add(zone_a, response_kind::success, duration(20), usual);
    counted.add(zone_a, response_kind::cancelled, duration(250), usual);
    counted.add(zone_a, response_kind::withdrawn, duration(70), usual);
    EXPECT_EQ(counted.counts(), (counts{{zone_a, 1, 270}}));
}

} // namespace
} // namespace curranthoist::forwarding
