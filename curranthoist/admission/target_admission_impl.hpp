#pragma once

// Definitions of the target_admission member functions. Only target_admission.hpp
// includes this file.
#include "curranthoist/admission/target_admission.hpp"

#include <algorithm>

namespace curranthoist::admission {

template <limit_policy Limits, warmup_policy Warmup>
target_admission<Limits, Warmup>::target_admission(
    const target_admission_options& options, Limits limits, Warmup warmup)
    : limit_policy_(limits)
    , warmup_(warmup)
    , limits_(limit_policy_.limits(options.slots, options.connections))
    , fence_(options.fence)
    , detector_(options.expected_service_time)
{
    warmup_.restore(options.pace_milli_per_s, options.warm);
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::set_limits(std::uint32_t slots,
                                                  std::uint32_t connections)
{
    limits_ = limit_policy_.limits(slots, connections);
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::enqueue(base::instant now,
                                               const admission_request& request)
    -> actions
{
    actions out;
    if (const auto rejected = rejection(now, request)) {
        out.push_back(*rejected);
    }
    else {
        queue_.emplace(queue_key(request.deadline, request.call), request);
    }
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::on_cancel(base::instant now, std::uint64_t call)
    -> actions
{
    constexpr int p99 = 99;
    actions out;
    std::erase_if(queue_, [&](const auto& entry) { return entry.first.second == call; });
    if (const auto found = running_.find(call); found != running_.end()) {
        running_call& running = found->second;
        const auto p99_time = recent_service_times_.quantile(p99);
        // The call takes longer than the recent p99. Closing its connection now would
        // hide that the connection is unresponsive. The call continues until it ends or
        // becomes overdue, which shows whether the connection still works.
        if (!running.suspect && p99_time && now - running.started > *p99_time) {
            running.cancel_requested = true;
        }
        else {
            cancel_running(now, call, false, out);
        }
    }
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::on_result(base::instant now, std::uint64_t call,
                                                 const call_result& result) -> actions
{
    actions out;
    if (const auto found = running_.find(call); found != running_.end()) {
        running_call ended = found->second;
        running_.erase(found);
        end_opening(ended);
        const bool may_still_run =
            result.end == call_end::timed_out || result.end == call_end::reset;
        release_call(now, ended, may_still_run);
        record_result(now, ended, result);
    }
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::on_connection_opened(base::instant now,
                                                            std::uint64_t call,
                                                            std::uint32_t open) -> actions
{
    actions out;
    connections_.set_open(open);
    if (const auto found = running_.find(call); found != running_.end()) {
        end_opening(found->second);
    }
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::on_connection_closed(base::instant now,
                                                            std::uint32_t open) -> actions
{
    actions out;
    connections_.set_open(open);
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::on_status(base::instant now,
                                                 const target_status& status) -> actions
{
    actions out;
    if (detector_.boot_changed(status.boot)) {
        turn_cold(now, true);
    }
    if (!status.reachable && !unavailable_) {
        unavailable_ = true;
        next_probe_ = now + probe_interval;
    }
    else if (status.reachable && !status.draining && (draining_ || unavailable_)) {
        // A positive poll only lets one request start at once. The result of that request
        // decides whether the target is available.
        unavailable_ = true;
        next_probe_ = std::min(next_probe_, now);
    }
    draining_ = status.reachable ? status.draining : draining_;
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::on_time(base::instant now) -> actions
{
    actions out;
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
auto target_admission<Limits, Warmup>::stop_sending(base::instant now) -> actions
{
    actions out;
    stopping_ = true;
    update(now, out);
    return out;
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::update(base::instant now, actions& out)
{
    last_event_time_ = now;
    connections_.expire(now);
    reserved_slots_.erase(reserved_slots_.begin(), reserved_slots_.upper_bound(now));
    check_running_calls(now, out);
    if (stopping_) {
        reject_all(reject_reason::not_owner, "the target is being released", out);
    }
    else if (!accepts_requests(now)) {
        reject_all(reject_reason::away, "the target is draining or unreachable", out);
    }
    start_queued(now, out);
    reject_unschedulable(now, out);
    finish_stop(out);
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::check_running_calls(base::instant now,
                                                           actions& out)
{
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> cancelled;
    const base::duration overdue = overdue_delay();
    for (auto& [call, running] : running_) {
        const base::duration age = now - running.started;
        const bool ended = now >= running.deadline;
        running.suspect =
            running.suspect || age >= overdue || (ended && age >= min_overdue_delay);
        if (ended) {
            expired.push_back(call);
        }
        else if (running.suspect && running.cancel_requested) {
            cancelled.push_back(call);
        }
    }
    for (const std::uint64_t call : expired) {
        const running_call running = running_.at(call);
        cancel_running(now, call, !running.cancel_requested, out);
        // A call that had too little time for an ordinary response shows no overload.
        if (detector_.is_slow(now - running.started)) {
            on_no_response(now, running);
        }
    }
    for (const std::uint64_t call : cancelled) {
        cancel_running(now, call, false, out);
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::cancel_running(base::instant now,
                                                      std::uint64_t call, bool timed_out,
                                                      actions& out)
{
    running_call ended = running_.at(call);
    running_.erase(call);
    release_call(now, ended, true);
    end_opening(ended);
    out.push_back(cancel_call{call, timed_out});
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::release_call(base::instant now,
                                                    const running_call& call,
                                                    bool may_still_run)
{
    if (!may_still_run) {
        return;
    }
    const base::instant cancelled_end = now + cancelled_slot_reservation;
    reserved_slots_.insert(call.suspect ? std::max(call.deadline, cancelled_end)
                                        : cancelled_end);
    if (call.suspect && !call.opening) {
        connections_.on_abandoned(now);
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::end_opening(running_call& call)
{
    if (call.opening) {
        connections_.on_opening_ended(call.replaces_idle);
        call.opening = false;
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::start_queued(base::instant now, actions& out)
{
    while (!queue_.empty() && may_start(now)) {
        const admission_request request = queue_.begin()->second;
        queue_.erase(queue_.begin());
        if (request.deadline <= now + min_run_time()) {
            out.push_back(reject_call{request.call, reject_reason::shed,
                                      "too little time is left before the deadline"});
        }
        else if (lease_too_short(now, request)) {
            out.push_back(reject_call{request.call, reject_reason::no_lease,
                                      "the VM lease ends before the request could"});
        }
        else {
            start(now, request, out);
        }
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::start(base::instant now,
                                             const admission_request& request,
                                             actions& out)
{
    running_call running;
    running.started = now;
    running.deadline = std::min(request.deadline, lease_end_);
    running.opening = request.fresh_connection || idle_connections() == 0;
    running.replaces_idle =
        running.opening && connections_.total() >= limits_.connections;
    if (running.opening) {
        connections_.on_opening(running.replaces_idle);
    }
    warmup_.on_start(now);
    running_.emplace(request.call, running);
    out.push_back(start_call{request.call, running.opening, running.deadline});
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::reject_unschedulable(base::instant now,
                                                            actions& out)
{
    base::instant start_time = expected_start(now) + min_run_time();
    std::size_t waiting_count = 0;
    for (auto entry = queue_.begin(); entry != queue_.end();) {
        const bool lease_ended = lease_end_ <= now;
        if (lease_ended || start_time >= entry->first.first ||
            waiting_count >= limits_.queue) {
            out.push_back(reject_call{
                entry->first.second,
                lease_ended ? reject_reason::no_lease : reject_reason::shed,
                lease_ended ? "the VM lease has ended"
                            : "no start is expected before the request's deadline"});
            entry = queue_.erase(entry);
            continue;
        }
        start_time = start_time + start_interval();
        ++waiting_count;
        ++entry;
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::reject_all(reject_reason reason,
                                                  std::string_view text, actions& out)
{
    for (const auto& [key, request] : queue_) {
        out.push_back(reject_call{request.call, reason, text});
    }
    queue_.clear();
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::record_result(base::instant now,
                                                     const running_call& call,
                                                     const call_result& result)
{
    const bool restarted = detector_.boot_changed(result.boot);
    const bool cold = detector_.detect_cold_start(now, result, warmup_.warm());
    if (restarted || cold) {
        turn_cold(now, restarted);
    }
    switch (result.end) {
    case call_end::refused:
    case call_end::reset:
    case call_end::timed_out:
        on_no_response(now, call);
        return;
    case call_end::ok:
    case call_end::shed:
    case call_end::expired:
    case call_end::snapshot_gone:
    case call_end::failed:
        last_response_ = now;
        on_response(now, result, restarted || cold);
        return;
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::on_response(base::instant now,
                                                   const call_result& result,
                                                   bool turned_cold)
{
    consecutive_failures_ = 0;
    unavailable_ = unavailable_ && result.end != call_end::ok &&
                   result.end != call_end::snapshot_gone;
    if (unavailable_) {
        next_probe_ = now + probe_interval;
    }
    const bool shed = result.end == call_end::shed || result.end == call_end::expired;
    if (shed && !turned_cold) {
        warmup_.on_overload();
    }
    if (result.end != call_end::ok) {
        return;
    }
    recent_service_times_.add(result.service_time);
    if (detector_.is_slow(result.service_time)) {
        warmup_.on_slow_response();
    }
    else {
        warmup_.on_fast_response(capacity_milli_per_s());
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::on_no_response(base::instant now,
                                                      const running_call& call)
{
    // The target has responded on another connection since this call started, so only
    // this connection is unresponsive.
    if (last_response_ > call.started) {
        return;
    }
    warmup_.on_overload();
    ++consecutive_failures_;
    if (unavailable_ || consecutive_failures_ >= failures_until_unavailable) {
        unavailable_ = true;
        next_probe_ = now + probe_interval;
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::turn_cold(base::instant now, bool restarted)
{
    warmup_.turn_cold(now);
    if (restarted) {
        connections_.forget_abandoned();
    }
}

template <limit_policy Limits, warmup_policy Warmup>
void target_admission<Limits, Warmup>::finish_stop(actions& out)
{
    if (!stopping_ || released_ || !running_.empty() || !reserved_slots_.empty()) {
        return;
    }
    if (connections_.open() > 0) {
        if (!close_requested_) {
            out.push_back(close_connections{});
        }
        close_requested_ = true;
        return;
    }
    released_ = true;
    out.push_back(target_released{warmup_.pace_milli_per_s(), warmup_.warm()});
}

} // namespace curranthoist::admission
