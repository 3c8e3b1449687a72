#include "curranthoist/admission/paced_return.hpp"

#include <algorithm>

namespace curranthoist::admission {

void paced_return::turn_cold(base::instant now)
{
    // A target that was cold already and failed since keeps its lower pace.
    pace_ = warm_ ? first_pace : std::min(pace_, first_pace);
    warm_ = false;
    good_ = 0;
    next_start_ = std::max(next_start_, now);
}

void paced_return::inherit(std::uint64_t pace_milli_per_s, bool warm)
{
    if (pace_milli_per_s > 0) {
        pace_ = std::max(pace_milli_per_s, lowest_pace);
    }
    warm_ = warm;
}

void paced_return::on_start(base::instant now)
{
    next_start_ = now + interval();
}

void paced_return::on_good(std::uint64_t capacity_milli_per_s)
{
    if (warm_) {
        return;
    }
    if (++good_ >= good_responses_to_grow) {
        good_ = 0;
        pace_ += pace_ / 2;
    }
    warm_ = pace_ > capacity_milli_per_s;
}

void paced_return::on_overload()
{
    good_ = 0;
    if (!warm_) {
        pace_ = std::max(pace_ / 2, lowest_pace);
    }
}

base::duration paced_return::interval() const
{
    constexpr std::int64_t milli_per_s_times_ms = 1'000'000;
    if (warm_) {
        return {};
    }
    const auto pace = static_cast<std::int64_t>(pace_);
    return base::duration((milli_per_s_times_ms + pace - 1) / pace);
}

} // namespace curranthoist::admission
