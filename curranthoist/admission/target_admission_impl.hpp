#pragma once

// The member functions of target_admission; included by its header only.
#include "curranthoist/admission/target_admission.hpp"

#include <algorithm>

namespace curranthoist::admission {

template <limit_policy Limits, return_policy Return>
target_admission<Limits, Return>::target_admission(
    const target_admission_options& options, Limits limits, Return return_rule)
    : limit_policy_(limits)
    , return_(return_rule)
    , limits_(limit_policy_.limits(options.slots, options.connections))
    , fence_(options.fence)
    , detector_(options.expected_service_time)
{
    return_.inherit(options.pace_milli_per_s, options.warm);
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::set_limits(std::uint32_t slots,
                                                  std::uint32_t connections)
{
    limits_ = limit_policy_.limits(slots, connections);
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::enqueue(base::instant now,
                                               const admission_request& request)
    -> actions
{
    actions out;
    if (const auto rejected = refusal(now, request)) {
        out.push_back(*rejected);
    }
    else {
        queue_.emplace(queue_key(request.deadline, request.call), request);
    }
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::on_cancel(base::instant now, std::uint64_t call)
    -> actions
{
    constexpr int p99 = 99;
    actions out;
    std::erase_if(queue_, [&](const auto& entry) { return entry.first.second == call; });
    if (const auto found = running_.find(call); found != running_.end()) {
        running_call& running = found->second;
        const auto usual = recent_.quantile(p99);
        // Slower than usual: closing the connection now would hide that it is silent. Its
        // answer, or its being overdue, shows what it is.
        if (!running.suspect && usual && now - running.started > *usual) {
            running.unwanted = true;
        }
        else {
            cancel_running(now, call, false, out);
        }
    }
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::on_result(base::instant now, std::uint64_t call,
                                                 const call_result& result) -> actions
{
    actions out;
    if (const auto found = running_.find(call); found != running_.end()) {
        running_call ended = found->second;
        running_.erase(found);
        end_opening(ended);
        const bool may_run_on =
            result.end == call_end::timed_out || result.end == call_end::reset;
        release_call(now, ended, may_run_on);
        learn(now, ended, result);
    }
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::on_connection_opened(base::instant now,
                                                            std::uint64_t call,
                                                            std::uint32_t open) -> actions
{
    actions out;
    ledger_.set_open(open);
    if (const auto found = running_.find(call); found != running_.end()) {
        end_opening(found->second);
    }
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::on_connection_closed(base::instant now,
                                                            std::uint32_t open) -> actions
{
    actions out;
    ledger_.set_open(open);
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::on_status(base::instant now,
                                                 const target_status& status) -> actions
{
    actions out;
    if (detector_.boot_changed(status.boot)) {
        turn_cold(now, true);
    }
    if (!status.reachable && !away_) {
        away_ = true;
        next_probe_ = now + probe_interval;
    }
    else if (status.reachable && !status.draining && (draining_ || away_)) {
        // A good report only lets a request through at once; its result decides.
        away_ = true;
        next_probe_ = std::min(next_probe_, now);
    }
    draining_ = status.reachable ? status.draining : draining_;
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::on_time(base::instant now) -> actions
{
    actions out;
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
auto target_admission<Limits, Return>::stop_sending(base::instant now) -> actions
{
    actions out;
    stopping_ = true;
    settle(now, out);
    return out;
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::settle(base::instant now, actions& out)
{
    settled_ = now;
    ledger_.expire(now);
    kept_slots_.erase(kept_slots_.begin(), kept_slots_.upper_bound(now));
    watch_running(now, out);
    if (stopping_) {
        reject_all(reject_reason::not_owner, "the target is being released", out);
    }
    else if (!takes_work(now)) {
        reject_all(reject_reason::away, "the target is draining or unreachable", out);
    }
    start_waiting(now, out);
    reject_hopeless(now, out);
    finish_stop(out);
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::watch_running(base::instant now, actions& out)
{
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> unwanted;
    const base::duration overdue = overdue_after();
    for (auto& [call, running] : running_) {
        const base::duration age = now - running.started;
        const bool ended = now >= running.deadline;
        running.suspect =
            running.suspect || age >= overdue || (ended && age >= overdue_floor);
        if (ended) {
            expired.push_back(call);
        }
        else if (running.suspect && running.unwanted) {
            unwanted.push_back(call);
        }
    }
    for (const std::uint64_t call : expired) {
        const running_call running = running_.at(call);
        cancel_running(now, call, !running.unwanted, out);
        // Too little time was left for an ordinary response: no sign of overload.
        if (detector_.slow(now - running.started)) {
            on_no_response(now, running);
        }
    }
    for (const std::uint64_t call : unwanted) {
        cancel_running(now, call, false, out);
    }
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::cancel_running(base::instant now,
                                                      std::uint64_t call, bool timed_out,
                                                      actions& out)
{
    running_call ended = running_.at(call);
    running_.erase(call);
    release_call(now, ended, true);
    end_opening(ended);
    out.push_back(cancel_call{call, timed_out});
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::release_call(base::instant now,
                                                    const running_call& call,
                                                    bool may_run_on)
{
    if (!may_run_on) {
        return;
    }
    const base::instant cancelled_end = now + cancelled_slot_kept;
    kept_slots_.insert(call.suspect ? std::max(call.deadline, cancelled_end)
                                    : cancelled_end);
    if (call.suspect && !call.opening) {
        ledger_.on_given_up(now);
    }
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::end_opening(running_call& call)
{
    if (call.opening) {
        ledger_.on_opening_ended(call.replaces_idle);
        call.opening = false;
    }
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::start_waiting(base::instant now, actions& out)
{
    while (!queue_.empty() && may_start(now)) {
        const admission_request request = queue_.begin()->second;
        queue_.erase(queue_.begin());
        if (request.deadline <= now + least_run_time()) {
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

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::start(base::instant now,
                                             const admission_request& request,
                                             actions& out)
{
    running_call running;
    running.started = now;
    running.deadline = std::min(request.deadline, lease_end_);
    running.opening = request.fresh_connection || idle_connections() == 0;
    running.replaces_idle = running.opening && ledger_.total() >= limits_.connections;
    if (running.opening) {
        ledger_.on_opening(running.replaces_idle);
    }
    return_.on_start(now);
    running_.emplace(request.call, running);
    out.push_back(start_call{request.call, running.opening, running.deadline});
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::reject_hopeless(base::instant now, actions& out)
{
    base::instant start_at = expected_start(now) + least_run_time();
    std::size_t kept = 0;
    for (auto entry = queue_.begin(); entry != queue_.end();) {
        const bool lease_ended = lease_end_ <= now;
        if (lease_ended || start_at >= entry->first.first || kept >= limits_.queue) {
            out.push_back(reject_call{
                entry->first.second,
                lease_ended ? reject_reason::no_lease : reject_reason::shed,
                lease_ended ? "the VM lease has ended"
                            : "no start is expected before the request's deadline"});
            entry = queue_.erase(entry);
            continue;
        }
        start_at = start_at + start_interval();
        ++kept;
        ++entry;
    }
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::reject_all(reject_reason reason,
                                                  std::string_view text, actions& out)
{
    for (const auto& [key, request] : queue_) {
        out.push_back(reject_call{request.call, reason, text});
    }
    queue_.clear();
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::learn(base::instant now, const running_call& call,
                                             const call_result& result)
{
    const bool restarted = detector_.boot_changed(result.boot);
    const bool cold = detector_.shows_cold_start(now, result, return_.warm());
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

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::on_response(base::instant now,
                                                   const call_result& result,
                                                   bool turned_cold)
{
    failures_ = 0;
    away_ = away_ && result.end != call_end::ok && result.end != call_end::snapshot_gone;
    if (away_) {
        next_probe_ = now + probe_interval;
    }
    const bool shed = result.end == call_end::shed || result.end == call_end::expired;
    if (shed && !turned_cold) {
        return_.on_overload();
    }
    if (result.end != call_end::ok) {
        return;
    }
    recent_.add(result.service_time);
    if (detector_.slow(result.service_time)) {
        return_.on_slow();
    }
    else {
        return_.on_good(capacity_milli_per_s());
    }
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::on_no_response(base::instant now,
                                                      const running_call& call)
{
    // A response on another connection since the start: only this connection is silent.
    if (last_response_ > call.started) {
        return;
    }
    return_.on_overload();
    ++failures_;
    if (away_ || failures_ >= failures_when_away) {
        away_ = true;
        next_probe_ = now + probe_interval;
    }
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::turn_cold(base::instant now, bool restarted)
{
    return_.turn_cold(now);
    if (restarted) {
        ledger_.forget_given_up();
    }
}

template <limit_policy Limits, return_policy Return>
void target_admission<Limits, Return>::finish_stop(actions& out)
{
    if (!stopping_ || released_ || !running_.empty() || !kept_slots_.empty()) {
        return;
    }
    if (ledger_.open() > 0) {
        if (!closing_) {
            out.push_back(close_connections{});
        }
        closing_ = true;
        return;
    }
    released_ = true;
    out.push_back(target_released{return_.pace_milli_per_s(), return_.warm()});
}

} // namespace curranthoist::admission
