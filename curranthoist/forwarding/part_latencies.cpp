#include "curranthoist/forwarding/part_latencies.hpp"

#include <algorithm>
#include <cmath>

namespace curranthoist::forwarding {

namespace {

// With fewer parts than this at an age, nothing is said about what follows.
constexpr double min_reached = 20;
// All samples lose half of their weight when their sum reaches this.
constexpr double max_weight = 4096;
// The distribution is recomputed once per so many samples.
constexpr int samples_per_update = 32;
constexpr double linear_ms = 32;

} // namespace

std::size_t part_latencies::bin_of(base::duration latency)
{
    const double ms = std::max(0.0, static_cast<double>(latency.count()));
    const auto bin = static_cast<std::size_t>(linear_ms * std::log2(1 + ms / linear_ms));
    return std::min(bin, bin_count - 1);
}

void part_latencies::count(bins& in, base::duration latency)
{
    in[bin_of(latency)] += 1;
    weight_ += 1;
    if (weight_ >= max_weight) {
        for (std::size_t bin = 0; bin < bin_count; ++bin) {
            finished_[bin] /= 2;
            unfinished_[bin] /= 2;
        }
        weight_ /= 2;
    }
    if (++since_update_ >= samples_per_update) {
        since_update_ = 0;
        update();
    }
}

void part_latencies::add(base::duration latency)
{
    count(finished_, latency);
}

void part_latencies::add_unfinished(base::duration age)
{
    count(unfinished_, age);
}

void part_latencies::update()
{
    // The Kaplan-Meier estimate. Unfinished parts were out for half of their bin.
    double reached = weight_;
    out_before_[0] = 1;
    for (std::size_t bin = 0; bin < bin_count; ++bin) {
        reached_[bin] = reached;
        const double at_risk = reached - unfinished_[bin] / 2;
        const double ended =
            at_risk > 0 ? std::clamp(finished_[bin] / at_risk, 0.0, 1.0) : 0;
        out_before_[bin + 1] = out_before_[bin] * (1 - ended);
        reached -= finished_[bin] + unfinished_[bin];
    }
}

double part_latencies::chance(base::duration age, base::duration time) const
{
    const std::size_t from = bin_of(age);
    if (time <= base::duration()) {
        return 0;
    }
    if (reached_[from] < min_reached || out_before_[from] <= 0) {
        return 1;
    }
    return 1 - out_before_[bin_of(age + time) + 1] / out_before_[from];
}

} // namespace curranthoist::forwarding
