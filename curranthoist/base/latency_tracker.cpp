#include "curranthoist/base/latency_tracker.hpp"

namespace curranthoist::base {

void latency_tracker::add(base::duration latency)
{
    constexpr int percent = 95;
    constexpr int half = 50;
    window_.add(latency);
    if (window_.size() >= min_samples && ++since_update_ >= samples_per_update) {
        p95_ = window_.quantile(percent).value_or(without_history);
        median_ = window_.quantile(half).value_or(base::duration());
        since_update_ = 0;
    }
}

} // namespace curranthoist::base
