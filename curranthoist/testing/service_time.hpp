#pragma once

#include "curranthoist/base/random_source.hpp"
#include "curranthoist/testing/target_settings.hpp"

#include <cmath>
#include <numbers>

namespace curranthoist::testing {

// Draws service times in milliseconds with a given mean and shape.
class service_time
{
public:
    service_time(double mean_ms, time_shape shape)
        : mean_ms_(mean_ms)
        , shape_(shape)
    {}

    [[nodiscard]] double draw(base::random_source& random) const
    {
        switch (shape_) {
        case time_shape::fixed:
            return mean_ms_;
        case time_shape::exponential:
            return -mean_ms_ * std::log(1.0 - random.unit());
        case time_shape::log_normal:
            return mean_ms_ * std::exp(sigma * normal(random) - sigma * sigma / 2);
        }
        return mean_ms_;
    }

private:
    // Standard deviation of the logarithm; the 99th percentile is 2.8 times the mean.
    static constexpr double sigma = 0.5;

    // A standard normal value by the Box-Muller transform.
    static double normal(base::random_source& random)
    {
        const double radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
        return radius * std::cos(2.0 * std::numbers::pi * random.unit());
    }

    double mean_ms_;
    time_shape shape_;
};

} // namespace curranthoist::testing
