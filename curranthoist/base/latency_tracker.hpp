#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/latency_window.hpp"

namespace curranthoist::base {

// A service's recent part latencies, from send to reply, as the coordinator saw them. A
// part that a faster attempt beat counts with its age at that moment.
class latency_tracker
{
public:
    // Without enough samples a percentile says nothing, so hedging starts late.
    static constexpr std::size_t min_samples = 20;
    static constexpr base::duration without_history{100};
    // The percentile is recomputed once per so many samples.
    static constexpr int samples_per_update = 16;

    void add(base::duration latency);
    // The 95th percentile.
    [[nodiscard]] base::duration p95() const { return p95_; }
    // The 50th percentile; 0 without enough samples.
    [[nodiscard]] base::duration median() const { return median_; }

private:
    latency_window window_;
    base::duration p95_ = without_history;
    base::duration median_;
    int since_update_ = 0;
};

} // namespace curranthoist::base
