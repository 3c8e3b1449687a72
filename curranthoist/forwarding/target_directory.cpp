#include "curranthoist/forwarding/target_directory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace curranthoist::forwarding {

namespace {

// A target that has answered nothing for this long, with a request sent, has paused or
// worse: ordinary requests take a tenth of it.
constexpr base::duration stalled_after{40};
// A stalled target gets the next try after this time, twice as late after each strike.
// Pauses last 150 ms.
constexpr base::duration stall_retry{150};
constexpr unsigned max_strikes = 4;
// How much worse a stalled target is than an idle one.
constexpr double stall_penalty = 50.0;
// A target of another zone costs traffic between zones; it is chosen when the near one
// has half a request more.
constexpr double far_factor = 1.4;
// Weight of one answer in the smoothed slowness, and its bounds. One answer counts for at
// most most_answer_ratio, because a pause says nothing about the next answer.
constexpr double slowness_weight = 0.2;
constexpr double most_answer_ratio = 4.0;
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 30.0;
// A call that was given up after this many times the usual time counts as a slow one.
constexpr std::int64_t late_factor = 2;
// Without answers a target is taken for ordinary again with this half-life, so that it
// gets another try.
constexpr double forget_half_life_ms = 1500.0;
// Weight of one answer in the smoothed part of failures, and how much worse a target is
// that fails every request: another copy takes its place until it is forgotten.
constexpr double failure_weight = 0.25;
constexpr double failure_penalty = 12.0;

// What is left of a smoothed value after the time since it was taken.
double kept_part(base::instant since, base::instant now)
{
    const auto age = static_cast<double>((now - since).count());
    return std::pow(0.5, std::max(0.0, age) / forget_half_life_ms);
}
// The first probe of an unreachable target comes after this time; the delay doubles.
constexpr base::duration first_probe{300};
constexpr base::duration longest_probe_delay{2000};
// The list and the target count the end of the warm-up on different clocks.
constexpr base::duration cold_margin{200};

} // namespace

std::string target_directory::shortage::text() const
{
    return "listed=" + std::to_string(listed) + " draining=" + std::to_string(draining) +
           " cold=" + std::to_string(cold) + " evacuated=" + std::to_string(evacuated) +
           " unreachable=" + std::to_string(unreachable);
}

std::vector<base::target_id>
target_directory::replace_listing(std::span<const deployment::listed_target> targets,
                                  base::instant read_at)
{
    std::map<base::target_id, target_state> next;
    services_.clear();
    for (const deployment::listed_target& one : targets) {
        const auto known = targets_.find(one.id);
        target_state& state = next[one.id];
        const bool same_run = known != targets_.end() &&
                              known->second.listed.address == one.address &&
                              known->second.listed.service == one.service;
        if (same_run) {
            state = known->second;
        }
        state.listed = one;
        if (one.cold_for > base::duration()) {
            state.cold_until =
                std::max(state.cold_until, read_at + one.cold_for + cold_margin);
        }
        services_[one.service].push_back(one.id);
    }
    std::vector<base::target_id> gone;
    for (const auto& [id, state] : targets_) {
        if (!next.contains(id)) {
            gone.push_back(id);
        }
    }
    targets_ = std::move(next);
    has_listing_ = true;
    read_at_ = std::max(read_at_, read_at);
    return gone;
}

void target_directory::confirm_listing(base::instant read_at)
{
    read_at_ = std::max(read_at_, read_at);
}

void target_directory::set_evacuated(std::set<base::zone_id> zones, base::instant now)
{
    for (const base::zone_id& zone : evacuated_) {
        if (!zones.contains(zone)) {
            returned_[zone] = now;
        }
    }
    evacuated_ = std::move(zones);
}

bool target_directory::is_usable(const target_state& target, base::instant now) const
{
    if (target.listed.draining || target.unreachable || now < target.cold_until ||
        evacuated_.contains(target.listed.zone)) {
        return false;
    }
    const auto returned = returned_.find(target.listed.zone);
    return returned == returned_.end() ||
           read_at_ >= returned->second + options_.list_lag;
}

double target_directory::slowness_of(const target_state& target, base::instant now)
{
    return 1.0 + (target.slowness - 1.0) * kept_part(target.slowness_at, now);
}

double target_directory::failures_of(const target_state& target, base::instant now)
{
    return target.failures * kept_part(target.failures_at, now);
}

void target_directory::add_slowness(target_state& target, base::duration took,
                                    base::duration expected, base::instant now)
{
    const double ratio =
        std::min(most_answer_ratio, static_cast<double>(took.count()) /
                                        static_cast<double>(expected.count()));
    const double before = slowness_of(target, now);
    target.slowness = std::clamp(before + (ratio - before) * slowness_weight,
                                 least_slowness, most_slowness);
    target.slowness_at = now;
}

void target_directory::add_failure(target_state& target, bool failed, base::instant now)
{
    const double before = failures_of(target, now);
    target.failures = before + ((failed ? 1.0 : 0.0) - before) * failure_weight;
    target.failures_at = now;
}

double target_directory::score(const target_state& target, base::instant now) const
{
    double result = static_cast<double>(target.outstanding + 1) *
                    slowness_of(target, now) *
                    (1.0 + failure_penalty * failures_of(target, now));
    if (target.listed.zone != options_.own_zone) {
        result *= far_factor;
    }
    const bool waits = target.waiting_since != base::instant::max() &&
                       now - target.waiting_since > stalled_after;
    const base::duration retry_after = stall_retry * (std::int64_t{1} << target.strikes);
    if (waits && (target.outstanding > 0 || now - target.last_sent < retry_after)) {
        result *= stall_penalty;
    }
    return result;
}

const deployment::listed_target*
target_directory::choose(const base::service_id& service,
                         std::span<const base::target_id> excluded,
                         base::instant now) const
{
    const auto listed = services_.find(service);
    if (listed == services_.end()) {
        return nullptr;
    }
    const target_state* best = nullptr;
    double best_score = 0;
    for (const base::target_id& id : listed->second) {
        const target_state& target = targets_.at(id);
        if (!is_usable(target, now) ||
            std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
            continue;
        }
        const double value = score(target, now);
        // Among equals the one that was used longest ago, which spreads the load.
        if (best == nullptr || value < best_score ||
            (value == best_score && target.last_sent < best->last_sent)) {
            best = &target;
            best_score = value;
        }
    }
    return best == nullptr ? nullptr : &best->listed;
}

target_directory::shortage target_directory::explain(const base::service_id& service,
                                                     base::instant now) const
{
    shortage result;
    const auto listed = services_.find(service);
    if (listed == services_.end()) {
        return result;
    }
    for (const base::target_id& id : listed->second) {
        const target_state& target = targets_.at(id);
        ++result.listed;
        result.draining += target.listed.draining ? 1 : 0;
        result.unreachable += target.unreachable ? 1 : 0;
        result.cold += now < target.cold_until ? 1 : 0;
        result.evacuated += evacuated_.contains(target.listed.zone) ? 1 : 0;
    }
    return result;
}

const deployment::listed_target* target_directory::find(const base::target_id& id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second.listed;
}

void target_directory::on_sent(const base::target_id& id, base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    ++target.outstanding;
    target.last_sent = now;
    if (target.waiting_since == base::instant::max()) {
        target.waiting_since = now;
    }
}

void target_directory::suspend(target_state& target, base::instant now)
{
    if (!target.unreachable) {
        target.unreachable = true;
        target.probe_delay = first_probe;
        target.probe_at = now + target.probe_delay;
    }
}

void target_directory::on_answer(const base::target_id& id, answer_kind kind,
                                 base::duration took, base::duration expected,
                                 base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    target.outstanding -= target.outstanding > 0 ? 1 : 0;
    if (kind == answer_kind::unreachable || kind == answer_kind::wrong_target) {
        suspend(target, now);
        return;
    }
    if (kind == answer_kind::cancelled || kind == answer_kind::unknown) {
        const bool silent = target.waiting_since != base::instant::max() &&
                            now - target.waiting_since > stalled_after;
        if (silent && ++target.strikes > max_strikes) {
            suspend(target, now);
            target.strikes = max_strikes;
        }
        // It would have taken at least this long.
        if (expected > base::duration() && took > expected * late_factor) {
            add_slowness(target, took, expected, now);
        }
        if (kind == answer_kind::unknown) {
            add_failure(target, true, now);
        }
        return;
    }
    target.waiting_since = target.outstanding > 0 ? now : base::instant::max();
    target.strikes = 0;
    add_failure(target, kind != answer_kind::success, now);
    if (kind == answer_kind::success && expected > base::duration()) {
        add_slowness(target, took, expected, now);
    }
}

std::vector<base::target_id> target_directory::due_probes(base::instant now)
{
    std::vector<base::target_id> due;
    for (auto& [id, target] : targets_) {
        if (target.unreachable && target.probe_at <= now) {
            target.probe_delay = std::min(target.probe_delay * 2, longest_probe_delay);
            target.probe_at = now + target.probe_delay;
            // A leaving target's health is of no interest.
            if (!target.listed.draining) {
                due.push_back(id);
            }
        }
    }
    return due;
}

void target_directory::on_healthy(const base::target_id& id, base::duration cold_for,
                                  base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    target.unreachable = false;
    target.strikes = 0;
    target.waiting_since = base::instant::max();
    if (cold_for > base::duration()) {
        target.cold_until = std::max(target.cold_until, now + cold_for + cold_margin);
    }
}

base::instant target_directory::next_probe() const
{
    base::instant next = base::instant::max();
    for (const auto& [id, target] : targets_) {
        if (target.unreachable) {
            next = std::min(next, target.probe_at);
        }
    }
    return next;
}

} // namespace curranthoist::forwarding
