#pragma once

// The estimates of target_admission, which change nothing; included by its header only.
#include "curranthoist/admission/target_admission.hpp"

#include <algorithm>

namespace curranthoist::admission {

template <limit_policy Limits, return_policy Return>
std::optional<reject_call>
target_admission<Limits, Return>::refusal(base::instant now,
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
    if (!takes_work(now)) {
        return reject_call{request.call, reject_reason::away,
                           "the target is draining or unreachable"};
    }
    return std::nullopt;
}

template <limit_policy Limits, return_policy Return>
bool target_admission<Limits, Return>::may_start(base::instant now) const
{
    const bool connection_available =
        idle_connections() > 0 || ledger_.total() < limits_.connections;
    return takes_work(now) && lease_end_ > now && slots_in_use() < slot_limit() &&
           now >= return_.next_start() && connection_available;
}

template <limit_policy Limits, return_policy Return>
bool target_admission<Limits, Return>::lease_too_short(
    base::instant now, const admission_request& request) const
{
    return lease_end_ < request.deadline && lease_end_ < now + least_lease;
}

template <limit_policy Limits, return_policy Return>
bool target_admission<Limits, Return>::takes_work(base::instant now) const
{
    return !stopping_ && !draining_ && (!away_ || now >= next_probe_);
}

template <limit_policy Limits, return_policy Return>
std::uint32_t target_admission<Limits, Return>::idle_connections() const
{
    const auto busy = static_cast<std::uint32_t>(
        std::count_if(running_.begin(), running_.end(),
                      [](const auto& entry) { return !entry.second.opening; }));
    const std::uint32_t taken = busy + ledger_.replacing();
    return ledger_.open() > taken ? ledger_.open() - taken : 0;
}

template <limit_policy Limits, return_policy Return>
std::uint32_t target_admission<Limits, Return>::slot_limit() const
{
    return away_ || !return_.warm() ? 1 : limits_.slots;
}

template <limit_policy Limits, return_policy Return>
std::uint32_t target_admission<Limits, Return>::slots_in_use() const
{
    return static_cast<std::uint32_t>(running_.size() + kept_slots_.size());
}

template <limit_policy Limits, return_policy Return>
std::uint32_t target_admission<Limits, Return>::load() const
{
    return static_cast<std::uint32_t>(running_.size() + queue_.size());
}

template <limit_policy Limits, return_policy Return>
std::uint32_t target_admission<Limits, Return>::connection_limit() const
{
    const std::uint32_t given_up = ledger_.given_up();
    return limits_.connections > given_up ? limits_.connections - given_up : 0;
}

template <limit_policy Limits, return_policy Return>
base::duration target_admission<Limits, Return>::service_time() const
{
    constexpr int median = 50;
    return recent_.quantile(median).value_or(detector_.warm_service_time());
}

template <limit_policy Limits, return_policy Return>
base::instant target_admission<Limits, Return>::expected_start(base::instant now) const
{
    const std::uint32_t limit = slot_limit();
    const base::instant earliest = std::max(now, return_.next_start());
    if (slots_in_use() < limit) {
        return earliest;
    }
    std::vector<base::instant> free_at(kept_slots_.begin(), kept_slots_.end());
    const base::duration usual = service_time();
    for (const auto& [call, running] : running_) {
        free_at.push_back(running.suspect ? running.deadline
                                          : std::max(now, running.started + usual));
    }
    std::sort(free_at.begin(), free_at.end());
    return std::max(earliest, free_at[free_at.size() - limit]);
}

template <limit_policy Limits, return_policy Return>
base::duration target_admission<Limits, Return>::start_interval() const
{
    const base::duration between = service_time() / slot_limit();
    return std::max(return_.interval(), between);
}

template <limit_policy Limits, return_policy Return>
base::duration target_admission<Limits, Return>::overdue_after() const
{
    constexpr int p99 = 99;
    constexpr int factor = 3;
    const auto usual = recent_.quantile(p99);
    return usual ? std::max(*usual * factor, overdue_floor) : overdue_without_history;
}

template <limit_policy Limits, return_policy Return>
base::duration target_admission<Limits, Return>::least_run_time() const
{
    return std::min(detector_.warm_service_time(), most_run_time_demanded);
}

template <limit_policy Limits, return_policy Return>
std::uint64_t target_admission<Limits, Return>::capacity_milli_per_s() const
{
    constexpr std::uint64_t milli_per_s_times_ms = 1'000'000;
    const auto usual = std::max<std::int64_t>(1, detector_.warm_service_time().count());
    return limits_.slots * milli_per_s_times_ms / static_cast<std::uint64_t>(usual);
}

template <limit_policy Limits, return_policy Return>
base::instant target_admission<Limits, Return>::next_wakeup() const
{
    base::instant next = base::instant::max();
    const auto consider = [&](base::instant at) {
        next = at > settled_ ? std::min(next, at) : next;
    };
    for (const auto& [call, running] : running_) {
        consider(running.deadline);
        consider(running.started + overdue_after());
    }
    if (away_) {
        consider(next_probe_);
    }
    if (!kept_slots_.empty()) {
        consider(*kept_slots_.begin());
    }
    if (!queue_.empty()) {
        consider(queue_.begin()->first.first - least_run_time());
        consider(return_.next_start());
        consider(ledger_.next_expiry());
        consider(lease_end_);
    }
    return next;
}

} // namespace curranthoist::admission
