#pragma once

#include "curranthoist/admission/call_result.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/latency_window.hpp"

#include <array>
#include <cstddef>
#include <deque>

namespace curranthoist::admission {

// Detects from responses and status polls that a target has started cold. A target
// announces a restart by a new boot id. Without an announcement, the detector recognises
// a cold start by refused or reset connections that work again later, by a burst of
// sheds, or by responses far slower than those of the warm target.
class cold_detector
{
public:
    // This many sheds within the window are a burst.
    static constexpr std::size_t shed_burst_size = 4;
    static constexpr base::duration burst_window{1000};
    // The number of consecutive slow responses after which the target counts as cold.
    // Single stragglers don't reach it.
    static constexpr int slow_responses_until_cold = 8;
    static constexpr int slow_factor = 3;
    // A slow response exceeds the warm service time by more than this difference. If the
    // warm service time is only a few milliseconds, a multiple of it is within the noise.
    static constexpr base::duration min_slow_excess{5};
    // After this many consecutive slow responses, their service time becomes the target's
    // warm service time. Otherwise a target that became permanently slower would remain
    // limited to the warm-up rate forever.
    static constexpr int slow_responses_until_new_baseline = 64;
    static constexpr std::size_t max_remembered_boots = 8;

    // `expected` is the warm service time known from another source, such as other
    // targets of the service; 0 if it is unknown.
    explicit cold_detector(base::duration expected = {})
        : expected_service_time_(expected)
    {}

    // Records the boot id and returns true if it shows a restart. The first id, an empty
    // id and an earlier id show no restart: a status poll may lag behind a restart.
    bool boot_changed(const base::boot_id& boot);
    // Records the result and returns true if it shows a cold start. Must be called for
    // each result. `warm` tells whether the target has counted as warm until now.
    bool detect_cold_start(base::instant now, const call_result& result, bool warm);
    // Returns true if a response with this service time is slow: more than 3 times the
    // warm service time, and more than 5 ms above it.
    [[nodiscard]] bool is_slow(base::duration service_time) const;
    // The warm service time is the median of the responses while the target is warm.
    // Until there are enough of these, it is the expected time or, if that is unknown,
    // the lower quartile of all responses. The service times of a cold target vary, and
    // the lower ones are closer to its warm service time. The minimum would be far too
    // low for a service with varying service times: most ordinary responses would then
    // count as slow.
    [[nodiscard]] base::duration warm_service_time() const;

private:
    // Returns true if the last shed_burst_size sheds lie within burst_window.
    bool record_shed(base::instant now);
    // Returns true if the warm target has sent enough consecutive slow responses to count
    // as cold.
    bool record_service_time(base::duration service_time, bool warm);

    base::duration expected_service_time_;
    // The known boot ids in the order of their first appearance.
    std::deque<base::boot_id> boots_;
    bool connection_failed_ = false;
    std::array<base::instant, shed_burst_size> sheds_{};
    std::size_t shed_count_ = 0;
    int slow_count_ = 0;
    base::latency_window warm_times_;
    base::latency_window all_times_;
};

} // namespace curranthoist::admission
