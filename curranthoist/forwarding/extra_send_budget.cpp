#include "curranthoist/forwarding/extra_send_budget.hpp"

#include <algorithm>

namespace curranthoist::forwarding {

namespace {

// The window is counted in this many slices and one more, so that the sum over the kept
// slices covers every window that ends now.
constexpr std::int64_t slices = 10;
// Part of the allowance that is used; the rest covers VMs that have just joined and sends
// that arrive later than they left.
constexpr double used_part = 0.8;

} // namespace

extra_send_budget::slice& extra_send_budget::current(history& of, base::instant now) const
{
    const std::int64_t length =
        std::max<std::int64_t>(1, options_.window.count() / slices);
    const std::int64_t number = now.count() / length;
    if (of.empty() || of.back().number < number) {
        of.push_back({number, 0, 0});
    }
    while (of.front().number < number - slices) {
        of.pop_front();
    }
    return of.back();
}

void extra_send_budget::on_request(const base::service_id& service, base::instant now)
{
    ++current(services_[service], now).requests;
}

bool extra_send_budget::take(const base::service_id& service, base::instant now)
{
    history& counted = services_[service];
    slice& last = current(counted, now);
    std::uint64_t requests = 0;
    std::uint64_t extra = 0;
    for (const slice& each : counted) {
        requests += each.requests;
        extra += each.extra;
    }
    const double allowed = used_part * (options_.ratio * static_cast<double>(requests) +
                                        options_.slack / static_cast<double>(vm_count_));
    if (static_cast<double>(extra + 1) > allowed) {
        return false;
    }
    ++last.extra;
    return true;
}

std::uint64_t extra_send_budget::used(const base::service_id& service) const
{
    std::uint64_t extra = 0;
    const auto found = services_.find(service);
    if (found != services_.end()) {
        for (const slice& each : found->second) {
            extra += each.extra;
        }
    }
    return extra;
}

} // namespace curranthoist::forwarding
