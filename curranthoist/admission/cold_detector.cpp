#include "curranthoist/admission/cold_detector.hpp"

#include <algorithm>

namespace curranthoist::admission {

bool cold_detector::boot_changed(const base::boot_id& boot)
{
    if (boot.empty() || std::find(boots_.begin(), boots_.end(), boot) != boots_.end()) {
        return false;
    }
    boots_.push_back(boot);
    if (boots_.size() > max_remembered_boots) {
        boots_.pop_front();
    }
    return boots_.size() > 1;
}

bool cold_detector::detect_cold_start(base::instant now, const call_result& result,
                                      bool warm)
{
    switch (result.end) {
    case call_end::refused:
    case call_end::reset:
        connection_failed_ = true;
        return false;
    case call_end::shed:
    case call_end::expired:
        return record_shed(now) && warm;
    case call_end::ok:
        break;
    case call_end::snapshot_gone:
    case call_end::failed:
    case call_end::timed_out:
        return false;
    }
    const bool recovered = connection_failed_;
    connection_failed_ = false;
    return record_service_time(result.service_time, warm) || recovered;
}

bool cold_detector::record_shed(base::instant now)
{
    sheds_[shed_count_ % shed_burst_size] = now;
    ++shed_count_;
    // The next element to be overwritten holds the oldest of the last four sheds.
    const base::instant oldest = sheds_[shed_count_ % shed_burst_size];
    return shed_count_ >= shed_burst_size && now - oldest <= burst_window;
}

bool cold_detector::record_service_time(base::duration service_time, bool warm)
{
    const bool slow_response = is_slow(service_time);
    if (warm) {
        warm_times_.add(service_time);
    }
    all_times_.add(std::max(service_time, base::duration(1)));
    slow_count_ = slow_response ? slow_count_ + 1 : 0;
    if (slow_count_ >= slow_responses_until_new_baseline) {
        warm_times_.clear();
        expected_service_time_ = {};
        all_times_.clear();
        all_times_.add(std::max(service_time, base::duration(1)));
        slow_count_ = 0;
    }
    return warm && slow_count_ >= slow_responses_until_cold;
}

bool cold_detector::is_slow(base::duration service_time) const
{
    const base::duration reference = warm_service_time();
    return reference > base::duration() &&
           service_time > std::max(reference * slow_factor, reference + min_slow_excess);
}

base::duration cold_detector::warm_service_time() const
{
    constexpr std::size_t min_samples = 8;
    constexpr int median = 50;
    constexpr int lower_quartile = 25;
    if (warm_times_.size() >= min_samples) {
        return *warm_times_.quantile(median);
    }
    return expected_service_time_ > base::duration()
               ? expected_service_time_
               : all_times_.quantile(lower_quartile).value_or(base::duration());
}

} // namespace curranthoist::admission
