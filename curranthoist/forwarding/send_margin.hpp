#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/latency_window.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace curranthoist::forwarding {

// How long before the objective an answer to a query must leave, by what this process
// took for recent ones.
//
// Load pattern: a process with a small part of a processor reaches an answer late and
// merges slowly, while each VM sees a query of one route less than once in ten seconds.
// So all routes of a process share one margin, and a few answers count.
class send_margin
{
public:
    // The margin without history, and the least one: the way to the caller and back, and
    // the merge.
    static constexpr base::duration min_margin{14};

    // Records the time from when an answer was due to when it was sent.
    void add(base::duration took)
    {
        window_.add(took);
        usual_ = window_.size() < min_samples
                     ? base::duration()
                     : window_.quantile(percent).value_or(base::duration());
    }
    [[nodiscard]] base::duration margin(base::duration objective) const
    {
        const base::duration most =
            std::max(min_margin, objective / max_part_of_objective);
        return std::clamp(way + usual_, min_margin, most);
    }
    // The chance that an answer which leaves `rest` before the objective comes late; 0
    // without history.
    [[nodiscard]] double lateness(base::duration rest) const
    {
        return window_.size() < min_samples ? 0 : window_.share_above(rest - way);
    }

private:
    // The way to the caller and back, without this process.
    static constexpr base::duration way{11};
    // A process that needs more is overloaded; answers with few parts don't help it.
    static constexpr std::int64_t max_part_of_objective = 3;
    // The quantile of fewer answers is that of one slow one.
    static constexpr std::size_t min_samples = 5;
    static constexpr int percent = 90;

    base::latency_window window_;
    base::duration usual_;
};

} // namespace curranthoist::forwarding
