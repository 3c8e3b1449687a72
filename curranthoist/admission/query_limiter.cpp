#include "curranthoist/admission/query_limiter.hpp"

#include <algorithm>

namespace curranthoist::admission {

bool query_limiter::try_start(base::instant now)
{
    adjust(now);
    if (running_ >= limit()) {
        return false;
    }
    ++running_;
    peak_running_ = std::max(peak_running_, running_);
    return true;
}

void query_limiter::on_part(base::instant now, bool shed, std::uint32_t queue_length)
{
    adjust(now);
    ++parts_;
    shed_parts_ += shed ? 1 : 0;
    queue_length_sum_ += queue_length;
}

void query_limiter::on_finish(base::instant now)
{
    adjust(now);
    running_ -= running_ > 0 ? 1 : 0;
}

void query_limiter::adjust(base::instant now)
{
    // The limit falls by a fifth or rises by a twentieth per interval. It adapts to an
    // overload by a factor of 5 in less than a second and recovers within a few seconds.
    constexpr double decrease_factor = 0.8;
    constexpr double increase_factor = 1.05;
    // If the peak of running queries stays below this ratio of the limit, the load didn't
    // reach the limit, and the limit doesn't grow.
    constexpr double min_used_ratio = 0.8;
    if (now < interval_end_ || parts_ == 0) {
        return;
    }
    const auto parts = static_cast<double>(parts_);
    const double peak_running = peak_running_;
    if (static_cast<double>(shed_parts_) > options_.max_shed_ratio * parts) {
        limit_ = std::max(options_.min_limit,
                          std::min(limit_, peak_running) * decrease_factor);
    }
    else if (static_cast<double>(queue_length_sum_) <=
                 options_.max_mean_queue_length * parts &&
             peak_running >= limit_ * min_used_ratio) {
        limit_ =
            std::min(options_.max_limit, std::max(limit_ * increase_factor, limit_ + 1));
    }
    interval_end_ = now + adjustment_interval;
    parts_ = 0;
    shed_parts_ = 0;
    queue_length_sum_ = 0;
    peak_running_ = running_;
}

} // namespace curranthoist::admission
