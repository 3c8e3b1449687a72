#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/latency_window.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace curranthoist::forwarding {

// How long before the objective an answer to a query must leave, by what this process
// took for recent ones. A busy process reaches an answer late and merges slowly.
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
        if (window_.size() >= min_samples && ++since_update_ >= samples_per_update) {
            since_update_ = 0;
            usual_ = window_.quantile(percent).value_or(base::duration());
        }
    }
    [[nodiscard]] base::duration margin(base::duration objective) const
    {
        const base::duration most =
            std::max(min_margin, objective / max_part_of_objective);
        return std::clamp(way + usual_, min_margin, most);
    }

private:
    // The way to the caller and back, without this process.
    static constexpr base::duration way{11};
    // A process that needs more is overloaded; answers with few parts don't help it.
    static constexpr std::int64_t max_part_of_objective = 3;
    static constexpr std::size_t min_samples = 20;
    static constexpr int samples_per_update = 16;
    static constexpr int percent = 90;

    base::latency_window window_;
    base::duration usual_;
    int since_update_ = 0;
};

} // namespace curranthoist::forwarding
