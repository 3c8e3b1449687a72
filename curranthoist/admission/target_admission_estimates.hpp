#pragma once

// Definitions of the const member functions of target_admission, which estimate times and
// loads. Only target_admission.hpp includes this file.
#include "curranthoist/admission/target_admission.hpp"

#include <algorithm>

namespace curranthoist::admission {

template <limit_policy Limits, warmup_policy Warmup>
std::optional<reject_call>
target_admission<Limits, Warmup>::rejection(base::instant now,
                                            const admission_request& request) const
{
    if (stopping_ || request.fence != fence_) {
        return reject_call{
            request.call, reject_reason::not_owner,
            "the fence isn't this owner's or the target is being released"};
    }
    if (lease_end_ <= now || lease_too_short(now, request)) {
        return reject_call{request.call, reject_reason::no_lease,
                           "the VM lease doesn't cover the request"};
    }
    if (!accepts_requests(now)) {
        return reject_call{request.call, reject_reason::away,
                           "the target is draining or unreachable"};
    }
    return std::nullopt;
}

template <limit_policy Limits, warmup_policy Warmup>
bool target_admission<Limits, Warmup>::may_start(base::instant now) const
{
    const bool connection_available =
        idle_connections() > 0 || connections_.total() < limits_.connections;
    return accepts_requests(now) && lease_end_ > now && slots_in_use() < slot_limit() &&
           now >= warmup_.next_start() && connection_available;
}

template <limit_policy Limits, warmup_policy Warmup>
bool target_admission<Limits, Warmup>::lease_too_short(
    base::instant now, const admission_request& request) const
{
    return lease_end_ < request.deadline && lease_end_ < now + min_remaining_lease;
}

template <limit_policy Limits, warmup_policy Warmup>
bool target_admission<Limits, Warmup>::accepts_requests(base::instant now) const
{
    return !stopping_ && !draining_ && (!unavailable_ || now >= next_probe_);
}

template <limit_policy Limits, warmup_policy Warmup>
std::uint32_t target_admission<Limits, Warmup>::idle_connections() const
{
    const auto busy = static_cast<std::uint32_t>(
        std::count_if(running_.begin(), running_.end(),
                      [](const auto& entry) { return !entry.second.opening; }));
    const std::uint32_t in_use = busy + connections_.replacing();
    return connections_.open() > in_use ? connections_.open() - in_use : 0;
}

template <limit_policy Limits, warmup_policy Warmup>
std::uint32_t target_admission<Limits, Warmup>::slot_limit() const
{
    return unavailable_ || !warmup_.warm() ? 1 : limits_.slots;
}

template <limit_policy Limits, warmup_policy Warmup>
std::uint32_t target_admission<Limits, Warmup>::slots_in_use() const
{
    return static_cast<std::uint32_t>(running_.size() + reserved_slots_.size());
}

template <limit_policy Limits, warmup_policy Warmup>
std::uint32_t target_admission<Limits, Warmup>::load() const
{
    return static_cast<std::uint32_t>(running_.size() + queue_.size());
}

template <limit_policy Limits, warmup_policy Warmup>
std::uint32_t target_admission<Limits, Warmup>::connection_limit() const
{
    const std::uint32_t abandoned = connections_.abandoned();
    return limits_.connections > abandoned ? limits_.connections - abandoned : 0;
}

template <limit_policy Limits, warmup_policy Warmup>
base::duration target_admission<Limits, Warmup>::service_time() const
{
    constexpr int median = 50;
    return recent_service_times_.quantile(median).value_or(detector_.warm_service_time());
}

template <limit_policy Limits, warmup_policy Warmup>
base::instant target_admission<Limits, Warmup>::expected_start(base::instant now) const
{
    const std::uint32_t limit = slot_limit();
    const base::instant earliest = std::max(now, warmup_.next_start());
    if (slots_in_use() < limit) {
        return earliest;
    }
    std::vector<base::instant> slot_free_times(reserved_slots_.begin(),
                                               reserved_slots_.end());
    const base::duration expected_duration = service_time();
    for (const auto& [call, running] : running_) {
        slot_free_times.push_back(
            running.suspect ? running.deadline
                            : std::max(now, running.started + expected_duration));
    }
    std::sort(slot_free_times.begin(), slot_free_times.end());
    return std::max(earliest, slot_free_times[slot_free_times.size() - limit]);
}

template <limit_policy Limits, warmup_policy Warmup>
base::duration target_admission<Limits, Warmup>::start_interval() const
{
    const base::duration service_interval = service_time() / slot_limit();
    return std::max(warmup_.interval(), service_interval);
}

template <limit_policy Limits, warmup_policy Warmup>
base::duration target_admission<Limits, Warmup>::overdue_delay() const
{
    constexpr int p99 = 99;
    constexpr int overdue_factor = 3;
    const auto p99_time = recent_service_times_.quantile(p99);
    return p99_time ? std::max(*p99_time * overdue_factor, min_overdue_delay)
                    : default_overdue_delay;
}

template <limit_policy Limits, warmup_policy Warmup>
base::duration target_admission<Limits, Warmup>::min_run_time() const
{
    return std::min(detector_.warm_service_time(), max_required_run_time);
}

template <limit_policy Limits, warmup_policy Warmup>
std::uint64_t target_admission<Limits, Warmup>::capacity_milli_per_s() const
{
    constexpr std::uint64_t milli_per_s_times_ms = 1'000'000;
    const auto service_time_ms =
        std::max<std::int64_t>(1, detector_.warm_service_time().count());
    return limits_.slots * milli_per_s_times_ms /
           static_cast<std::uint64_t>(service_time_ms);
}

template <limit_policy Limits, warmup_policy Warmup>
base::instant target_admission<Limits, Warmup>::next_wakeup() const
{
    base::instant next = base::instant::max();
    const auto consider = [&](base::instant time) {
        next = time > last_event_time_ ? std::min(next, time) : next;
    };
    for (const auto& [call, running] : running_) {
        consider(running.deadline);
        consider(running.started + overdue_delay());
    }
    if (unavailable_) {
        consider(next_probe_);
    }
    if (!reserved_slots_.empty()) {
        consider(*reserved_slots_.begin());
    }
    if (!queue_.empty()) {
        consider(queue_.begin()->first.first - min_run_time());
        consider(warmup_.next_start());
        consider(connections_.next_expiry());
        consider(lease_end_);
    }
    return next;
}

} // namespace curranthoist::admission
