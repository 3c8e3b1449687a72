#include "curranthoist/admission/cold_detector.hpp"

#include <algorithm>

namespace curranthoist::admission {

bool cold_detector::boot_changed(const base::boot_id& boot)
{
    if (boot.empty() || std::find(boots_.begin(), boots_.end(), boot) != boots_.end()) {
        return false;
    }
    boots_.push_back(boot);
    if (boots_.size() > boots_remembered) {
        boots_.pop_front();
    }
    return boots_.size() > 1;
}

bool cold_detector::shows_cold_start(base::instant now, const call_result& result,
                                     bool warm)
{
    switch (result.end) {
    case call_end::refused:
    case call_end::reset:
        connection_failed_ = true;
        return false;
    case call_end::shed:
    case call_end::expired:
        return shed_burst(now) && warm;
    case call_end::ok:
        break;
    case call_end::snapshot_gone:
    case call_end::failed:
    case call_end::timed_out:
        return false;
    }
    const bool back = connection_failed_;
    connection_failed_ = false;
    return slow_run(result.service_time, warm) || back;
}

bool cold_detector::shed_burst(base::instant now)
{
    sheds_[shed_count_ % sheds_in_burst] = now;
    ++shed_count_;
    // The place of the next shed holds the oldest of the last four.
    const base::instant first = sheds_[shed_count_ % sheds_in_burst];
    return shed_count_ >= sheds_in_burst && now - first <= burst_window;
}

bool cold_detector::slow_run(base::duration service_time, bool warm)
{
    const bool is_slow = slow(service_time);
    if (warm) {
        warm_times_.add(service_time);
    }
    all_times_.add(std::max(service_time, base::duration(1)));
    slow_count_ = is_slow ? slow_count_ + 1 : 0;
    if (slow_count_ >= slow_responses_when_normal) {
        warm_times_.clear();
        expected_ = {};
        all_times_.clear();
        all_times_.add(std::max(service_time, base::duration(1)));
        slow_count_ = 0;
    }
    return warm && slow_count_ >= slow_responses_when_cold;
}

bool cold_detector::slow(base::duration service_time) const
{
    const base::duration reference = warm_service_time();
    return reference > base::duration() &&
           service_time > std::max(reference * slow_factor, reference + slow_at_least);
}

base::duration cold_detector::warm_service_time() const
{
    constexpr std::size_t least_samples = 8;
    constexpr int median = 50;
    constexpr int lower_quartile = 25;
    if (warm_times_.size() >= least_samples) {
        return *warm_times_.quantile(median);
    }
    return expected_ > base::duration()
               ? expected_
               : all_times_.quantile(lower_quartile).value_or(base::duration());
}

} // namespace curranthoist::admission
