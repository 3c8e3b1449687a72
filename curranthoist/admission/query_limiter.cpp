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
    highest_running_ = std::max(highest_running_, running_);
    return true;
}

void query_limiter::on_part(base::instant now, bool shed, std::uint32_t queue_length)
{
    adjust(now);
    ++parts_;
    shed_parts_ += shed ? 1 : 0;
    queued_ += queue_length;
}

void query_limiter::on_finish(base::instant now)
{
    adjust(now);
    running_ -= running_ > 0 ? 1 : 0;
}

void query_limiter::adjust(base::instant now)
{
    // A fall by a fifth and a rise by a twentieth per interval: the limit passes through
    // an overload of 5 times in under a second and returns over a few.
    constexpr double fall = 0.8;
    constexpr double rise = 1.05;
    // Below this share of the limit in use, the limit was not put to the test.
    constexpr double tested_share = 0.8;
    if (now < interval_end_ || parts_ == 0) {
        return;
    }
    const auto parts = static_cast<double>(parts_);
    const double highest_running = highest_running_;
    if (static_cast<double>(shed_parts_) > options_.shed_share * parts) {
        limit_ =
            std::max(options_.lowest_limit, std::min(limit_, highest_running) * fall);
    }
    else if (static_cast<double>(queued_) <= options_.full_queue * parts &&
             highest_running >= limit_ * tested_share) {
        limit_ = std::min(options_.highest_limit, std::max(limit_ * rise, limit_ + 1));
    }
    interval_end_ = now + interval;
    parts_ = 0;
    shed_parts_ = 0;
    queued_ = 0;
    highest_running_ = running_;
}

} // namespace curranthoist::admission
