#include "curranthoist/admission/gradual_warmup.hpp"

#include <algorithm>

namespace curranthoist::admission {

void gradual_warmup::turn_cold(base::instant now)
{
    // A target that was already cold and has failed since then keeps its lower rate.
    warmup_rate_ =
        warm_ ? initial_warmup_rate : std::min(warmup_rate_, initial_warmup_rate);
    warm_ = false;
    consecutive_fast_responses_ = 0;
    next_start_ = std::max(next_start_, now);
}

void gradual_warmup::restore(std::uint64_t pace_milli_per_s, bool warm)
{
    if (pace_milli_per_s > 0) {
        warmup_rate_ = std::max(pace_milli_per_s, min_warmup_rate);
    }
    warm_ = warm;
}

void gradual_warmup::on_start(base::instant now)
{
    next_start_ = now + interval();
}

void gradual_warmup::on_fast_response(std::uint64_t capacity_milli_per_s)
{
    if (warm_) {
        return;
    }
    if (++consecutive_fast_responses_ >= fast_responses_per_increase) {
        consecutive_fast_responses_ = 0;
        warmup_rate_ += warmup_rate_ / 2;
    }
    warm_ = warmup_rate_ > capacity_milli_per_s;
}

void gradual_warmup::on_overload()
{
    consecutive_fast_responses_ = 0;
    if (!warm_) {
        warmup_rate_ = std::max(warmup_rate_ / 2, min_warmup_rate);
    }
}

base::duration gradual_warmup::interval() const
{
    constexpr std::int64_t milli_per_s_times_ms = 1'000'000;
    if (warm_) {
        return {};
    }
    const auto rate = static_cast<std::int64_t>(warmup_rate_);
    return base::duration((milli_per_s_times_ms + rate - 1) / rate);
}

} // namespace curranthoist::admission
