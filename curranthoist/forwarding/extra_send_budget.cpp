#include "curranthoist/forwarding/extra_send_budget.hpp"

#include <algorithm>

namespace curranthoist::forwarding {

namespace {

// Number of slices in a window. One slice more is retained, so that the sum over all
// retained slices covers every window that ends now.
constexpr std::int64_t slice_count = 10;
// Share of the budget that this VM uses. The rest covers VMs that have just joined and
// sends that arrive later than they were sent.
constexpr double usable_ratio = 0.8;

} // namespace

extra_send_budget::slice& extra_send_budget::current_slice(history& slices,
                                                           base::instant now) const
{
    const std::int64_t slice_duration_ms =
        std::max<std::int64_t>(1, options_.window.count() / slice_count);
    const std::int64_t index = now.count() / slice_duration_ms;
    if (slices.empty() || slices.back().index < index) {
        slices.push_back({index, 0, 0});
    }
    while (slices.front().index < index - slice_count) {
        slices.pop_front();
    }
    return slices.back();
}

void extra_send_budget::on_request(const base::service_id& service, base::instant now)
{
    ++current_slice(services_[service], now).requests;
}

bool extra_send_budget::take(const base::service_id& service, base::instant now)
{
    history& slices = services_[service];
    slice& newest = current_slice(slices, now);
    std::uint64_t requests = 0;
    std::uint64_t extra = 0;
    for (const slice& counts : slices) {
        requests += counts.requests;
        extra += counts.extra;
    }
    const double max_extra_sends =
        usable_ratio * (options_.ratio * static_cast<double>(requests) +
                        options_.slack / static_cast<double>(vm_count_));
    if (static_cast<double>(extra + 1) > max_extra_sends) {
        return false;
    }
    ++newest.extra;
    return true;
}

std::uint64_t extra_send_budget::used(const base::service_id& service) const
{
    std::uint64_t extra = 0;
    const auto found = services_.find(service);
    if (found != services_.end()) {
        for (const slice& counts : found->second) {
            extra += counts.extra;
        }
    }
    return extra;
}

} // namespace curranthoist::forwarding
