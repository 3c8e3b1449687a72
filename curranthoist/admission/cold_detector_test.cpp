#include "curranthoist/admission/cold_detector.hpp"
#include "curranthoist/admission/gradual_warmup.hpp"

#include <gtest/gtest.h>

#include <array>

namespace curranthoist::admission {
namespace {

using namespace base::literals;

// Service times with a mean of 5 ms, as from a target whose requests vary in cost.
constexpr std::array<base::duration, 10> varying_times{
    base::duration(4), base::duration(7), base::duration(2), base::duration(5),
    base::duration(3), base::duration(8), base::duration(4), base::duration(10),
    base::duration(1), base::duration(6)};

void add_response(cold_detector& detector, base::duration service_time)
{
    const call_result result{call_end::ok, base::boot_id("b1"), service_time};
    EXPECT_FALSE(detector.detect_cold_start(base::instant(1), result, false));
}

// Guards against a warm service time estimated so low that ordinary responses count as
// slow. The warm-up rate of a new target would then never grow.
TEST(cold_detector_test, ordinary_responses_of_a_new_target_are_not_slow)
{
    cold_detector detector;
    gradual_warmup warmup;
    warmup.turn_cold(base::instant(0));
    constexpr int rounds = 4;
    for (int i = 0; i < rounds; ++i) {
        for (const base::duration time : varying_times) {
            add_response(detector, time);
            if (detector.is_slow(time)) {
                warmup.on_slow_response();
            }
            else {
                warmup.on_fast_response(1'000'000);
            }
        }
    }
    EXPECT_GT(warmup.pace_milli_per_s(), 2 * gradual_warmup::initial_warmup_rate);
}

// Guards against a warm service time estimated from the cold responses. The target would
// then count as warm while it is slow.
TEST(cold_detector_test, a_new_target_that_speeds_up_has_its_faster_times_as_reference)
{
    cold_detector detector;
    constexpr int cold_responses = 12;
    constexpr int faster_responses = 6;
    for (int i = 0; i < cold_responses; ++i) {
        add_response(detector, 40_ms);
    }
    for (int i = 0; i < faster_responses; ++i) {
        add_response(detector, 5_ms);
    }
    EXPECT_EQ(detector.warm_service_time(), 5_ms);
    EXPECT_TRUE(detector.is_slow(40_ms));
}

} // namespace
} // namespace curranthoist::admission
