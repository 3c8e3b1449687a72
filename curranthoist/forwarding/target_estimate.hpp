#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/forwarding/response_kind.hpp"

#include <cstddef>

namespace curranthoist::forwarding {

// Estimate of the speed and failures of one target, from the requests that this VM sent
// to it. Observations decay over time, so that a target which performed badly is tried
// again.
class target_estimate
{
public:
    // Cost of an idle target with average latency and no recent failures.
    static constexpr double baseline_cost = 1.0;

    // Records that a request was sent. `expected_latency` is the usual latency of such a
    // request, or 0 if it is not known.
    void on_sent(base::duration expected_latency, base::instant now);
    // Records how a request ended. `expected_latency` is the usual latency of such a
    // request and `latency` the elapsed time of this one. Observations decay by half
    // within `half_life`. Returns true if the target needs a health probe: it could not
    // be reached at its address, or too many requests in a row timed out.
    bool on_answer(response_kind kind, base::duration latency,
                   base::duration expected_latency, base::duration half_life,
                   base::instant now);
    // Records that the health endpoint of the target has responded.
    void on_healthy();

    // Returns the estimated cost of one more request to this target, relative to
    // `baseline_cost`.
    [[nodiscard]] double cost(base::duration half_life, base::instant now) const;
    // Returns the number of requests without a response.
    [[nodiscard]] std::size_t outstanding() const { return outstanding_; }

private:
    // An exponentially decaying average and the time of its last sample.
    struct decaying_average
    {
        double value = 0;
        base::instant updated_at;

        // Returns the value decayed to `now`. It decays towards 0.
        [[nodiscard]] double decayed_value(base::duration half_life,
                                           base::instant now) const;
        void add(double sample, double min_weight, base::duration half_life,
                 base::instant now);
    };

    void add_latency(base::duration latency, base::duration expected_latency,
                     base::duration half_life, base::instant now);

    std::size_t outstanding_ = 0;
    // Start of the time without any response: the first send, or the last response if
    // other requests were still open then; max() if no response is awaited.
    base::instant unanswered_since_ = base::instant::max();
    base::instant last_sent_at_;
    // A target that has not responded for longer than this counts as stalled.
    base::duration stall_timeout_;
    // Consecutive sends that this VM cancelled or that failed while the target was
    // stalled.
    unsigned consecutive_timeouts_ = 0;
    // Latency in excess of the expected latency, as a multiple of the expected latency.
    decaying_average slowness_;
    // Share of the requests that the target refused or failed.
    decaying_average failures_;
};

} // namespace curranthoist::forwarding
