#include "curranthoist/forwarding/target_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace curranthoist::forwarding {

namespace {

// A target counts as stalled if a request is open and the target has not responded for
// this long and for twice the expected latency. Such a target has paused or failed.
constexpr base::duration min_stall_timeout{40};
constexpr std::int64_t stall_factor = 2;
// A stalled target is tried again after this delay, which doubles with each consecutive
// timeout. Pauses of a target last 150 ms.
constexpr base::duration stall_retry_delay{150};
constexpr unsigned max_consecutive_timeouts = 4;
// Factor on the cost of a stalled target.
constexpr double stall_penalty = 50.0;
// Minimum weight of one response in the slowness average, and bounds of a sample: half
// the expected latency, and three times the expected latency in excess. The upper bound
// exists because a pause does not predict the next response.
constexpr double min_slowness_weight = 0.2;
constexpr double min_slowness = -0.5;
constexpr double max_slowness = 3.0;
// A call that was cancelled or failed after more than this many times the expected
// latency counts as slow.
constexpr std::int64_t late_factor = 2;
// Minimum weight of one response in the failure average, and the factor on the cost of a
// target that fails every request. Another copy replaces such a target until the failures
// have decayed.
constexpr double min_failure_weight = 0.25;
constexpr double failure_penalty = 12.0;

double decay_factor(base::duration age, base::duration half_life)
{
    return std::pow(0.5, std::max(0.0, static_cast<double>(age.count())) /
                             static_cast<double>(half_life.count()));
}

} // namespace

double target_estimate::decaying_average::decayed_value(base::duration half_life,
                                                        base::instant now) const
{
    return value == 0 ? 0 : value * decay_factor(now - updated_at, half_life);
}

void target_estimate::decaying_average::add(double sample, double min_weight,
                                            base::duration half_life, base::instant now)
{
    // The weight of a new sample is the share of the average that has decayed since the
    // last sample.
    const double weight =
        std::max(min_weight, 1.0 - decay_factor(now - updated_at, half_life));
    const double decayed = decayed_value(half_life, now);
    value = decayed + (sample - decayed) * weight;
    updated_at = now;
}

void target_estimate::add_latency(base::duration latency, base::duration expected_latency,
                                  base::duration half_life, base::instant now)
{
    const double excess = static_cast<double>((latency - expected_latency).count()) /
                          static_cast<double>(expected_latency.count());
    slowness_.add(std::clamp(excess, min_slowness, max_slowness), min_slowness_weight,
                  half_life, now);
}

void target_estimate::on_sent(base::duration expected_latency, base::instant now)
{
    ++outstanding_;
    stall_timeout_ = std::max(min_stall_timeout, expected_latency * stall_factor);
    last_sent_at_ = now;
    if (slowness_.updated_at == base::instant()) {
        // Until the first response the target counts as average.
        slowness_.updated_at = now;
        failures_.updated_at = now;
    }
    if (unanswered_since_ == base::instant::max()) {
        unanswered_since_ = now;
    }
}

bool target_estimate::on_answer(response_kind kind, base::duration latency,
                                base::duration expected_latency, base::duration half_life,
                                base::instant now)
{
    outstanding_ -= outstanding_ > 0 ? 1 : 0;
    if (kind == response_kind::withdrawn) {
        return false;
    }
    if (kind == response_kind::unreachable || kind == response_kind::wrong_target) {
        return true;
    }
    if (kind == response_kind::cancelled || kind == response_kind::unknown) {
        const bool timed_out = unanswered_since_ != base::instant::max() &&
                               now - unanswered_since_ > stall_timeout_;
        const bool needs_probe =
            timed_out && ++consecutive_timeouts_ > max_consecutive_timeouts;
        consecutive_timeouts_ = std::min(consecutive_timeouts_, max_consecutive_timeouts);
        // The elapsed time is a lower bound of the latency of this request.
        if (expected_latency > base::duration() &&
            latency > expected_latency * late_factor) {
            add_latency(latency, expected_latency, half_life, now);
        }
        if (kind == response_kind::unknown) {
            failures_.add(1.0, min_failure_weight, half_life, now);
        }
        return needs_probe;
    }
    unanswered_since_ = outstanding_ > 0 ? now : base::instant::max();
    consecutive_timeouts_ = 0;
    const bool failed = kind != response_kind::success;
    failures_.add(failed ? 1.0 : 0.0, min_failure_weight, half_life, now);
    if (!failed && expected_latency > base::duration()) {
        add_latency(latency, expected_latency, half_life, now);
    }
    return false;
}

void target_estimate::on_healthy()
{
    consecutive_timeouts_ = 0;
    unanswered_since_ = base::instant::max();
}

double target_estimate::cost(base::duration half_life, base::instant now) const
{
    double result = baseline_cost * static_cast<double>(outstanding_ + 1) *
                    (1.0 + slowness_.decayed_value(half_life, now)) *
                    (1.0 + failure_penalty * failures_.decayed_value(half_life, now));
    const bool is_stalled = unanswered_since_ != base::instant::max() &&
                            now - unanswered_since_ > stall_timeout_;
    const base::duration retry_delay =
        stall_retry_delay * (std::int64_t{1} << consecutive_timeouts_);
    if (is_stalled && (outstanding_ > 0 || now - last_sent_at_ < retry_delay)) {
        result *= stall_penalty;
    }
    return result;
}

} // namespace curranthoist::forwarding
