#pragma once

#include "curranthoist/admission/call_result.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/latency_window.hpp"

#include <array>
#include <cstddef>
#include <deque>

namespace curranthoist::admission {

// Recognises from responses and status polls that a target has started cold: with notice
// (its boot id changes) or without (connections refused or reset and later working, a
// burst of sheds, or responses far slower than the warm ones).
class cold_detector
{
public:
    static constexpr std::size_t sheds_in_burst = 4;
    static constexpr base::duration burst_window{1000};
    // Consecutive slow responses after which the target counts as cold; single stragglers
    // don't reach it.
    static constexpr int slow_responses_when_cold = 8;
    static constexpr int slow_factor = 3;
    // Where the warm service time is a few milliseconds, a multiple of it is mere noise.
    static constexpr base::duration slow_at_least{5};
    // After so many slow responses in a row that is the target's speed from now on;
    // otherwise a service that became slower for good would stay paced for ever.
    static constexpr int slow_responses_when_normal = 64;
    static constexpr std::size_t boots_remembered = 8;

    // `expected` is the warm service time known from elsewhere; 0 if there is none.
    explicit cold_detector(base::duration expected = {})
        : expected_(expected)
    {}

    // True if this boot id shows a restart. The first id and an empty one don't, nor does
    // an earlier id: a status poll may lag behind a restart.
    bool boot_changed(const base::boot_id& boot);
    // Takes every result. True if it, from a target so far `warm` or not, shows a cold
    // start.
    bool shows_cold_start(base::instant now, const call_result& result, bool warm);
    // True if a response of that length is slow: over 3 times the warm service time.
    [[nodiscard]] bool slow(base::duration service_time) const;
    // The warm service time: the median while warm; before that the expected time or the
    // lower quartile of the responses so far. A cold target's times are mixed, and the
    // faster ones are nearer to its warm time; the fastest alone would be far below it
    // where service times vary, and most ordinary responses would count as slow.
    [[nodiscard]] base::duration warm_service_time() const;

private:
    bool shed_burst(base::instant now);
    bool slow_run(base::duration service_time, bool warm);

    base::duration expected_;
    // The newest id last.
    std::deque<base::boot_id> boots_;
    bool connection_failed_ = false;
    std::array<base::instant, sheds_in_burst> sheds_{};
    std::size_t shed_count_ = 0;
    int slow_count_ = 0;
    base::latency_window warm_times_;
    base::latency_window all_times_;
};

} // namespace curranthoist::admission
