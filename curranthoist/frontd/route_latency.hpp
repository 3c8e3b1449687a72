#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/latency_tracker.hpp"
#include "curranthoist/forwarding/part_latencies.hpp"

#include <algorithm>

namespace curranthoist::frontd {

// How long the targets of one route take, as this process saw it.
class route_latency
{
public:
    void add(base::duration took)
    {
        tracker_.add(took);
        parts_.add(took);
    }
    // Records a part that had not come when the wait for it ended.
    void add_unfinished(base::duration age) { parts_.add_unfinished(age); }
    [[nodiscard]] const forwarding::part_latencies& parts() const { return parts_; }
    // The usual time: the median, which a few slow targets don't move; 0 without history.
    [[nodiscard]] base::duration usual() const { return tracker_.median(); }
    // With less time left, an answer in time is unlikely: the median, within a part of
    // the objective; 0 without history.
    [[nodiscard]] base::duration min_answer_time(base::duration objective) const
    {
        return std::min(tracker_.median(), objective / min_time_divisor);
    }
    // When a request to another target is worth its cost: after the 95th percentile, and
    // early enough for the second answer to meet the objective.
    [[nodiscard]] base::duration hedge_delay(base::duration objective) const
    {
        const base::duration latest = base::duration(static_cast<std::int64_t>(
            static_cast<double>(objective.count()) * latest_part_of_objective));
        return std::max(min_hedge, std::min(tracker_.p95() + hedge_margin, latest));
    }

private:
    // Leaves the second target more than half of the objective.
    static constexpr double latest_part_of_objective = 0.4;
    // Bounds the time, because the median also contains waits for connections, and has no
    // new samples if every request is refused.
    static constexpr std::int64_t min_time_divisor = 4;
    // An answer at the percentile itself needs no hedge.
    static constexpr base::duration hedge_margin{3};
    static constexpr base::duration min_hedge{10};

    base::latency_tracker tracker_;
    forwarding::part_latencies parts_;
};

} // namespace curranthoist::frontd
