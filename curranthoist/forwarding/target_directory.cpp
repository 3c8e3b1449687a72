#include "curranthoist/forwarding/target_directory.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace curranthoist::forwarding {

namespace {

// Factor on the cost of a target of another zone, which is further away.
constexpr double other_zone_factor = 1.4;
// The wait that a caller accepts for a request that stays in the zone is at most this
// many times the usual latency: a longer one would make a quick request miss its
// objective.
constexpr double max_zone_cost = 1.5;
// Factor on the cost of a target without an idle connection, which causes a handshake and
// thus processor time on both sides.
constexpr double unconnected_factor = 1.3;
// Factor on the cost of a target that performs badly for other VMs. It equals that of a
// target that this VM saw to be three times slower than usual.
constexpr double suspect_factor = 3.0;
// A VM that sends to a service more often than once in this interval judges the targets
// of the service by itself.
constexpr base::duration rare_request_interval{200};
// A response that took more than this many times the expected latency counts as bad.
constexpr std::int64_t bad_latency_factor = 2;
// Maximum number of samples in a report. A query over 225 shards fits.
constexpr std::size_t max_sample_count = 300;
// This many VMs together observe each target often enough; more samples would only add
// load on the leader.
constexpr std::size_t max_sampling_vm_count = 100;
// A preconnection that ends within this time counts as refused. Targets keep idle
// connections for ten seconds and do not close those of other VMs earlier.
constexpr base::duration max_refused_connection_age{1000};
// Bounds of the delay before a refused preconnection is repeated. The delay doubles,
// because with more VMs than connections some VMs never get one.
constexpr base::duration min_preconnect_retry_delay{5000};
constexpr base::duration max_preconnect_retry_delay{60'000};
// Number of calls of due_preconnections() that together check every service once.
constexpr std::size_t preconnect_calls_per_cycle = 4;
// Bounds of the half-life with which observations of a target decay. Between the bounds
// the half-life spans this many requests to the service; otherwise a VM that sends one
// request in two seconds would have forgotten the last one by the next.
constexpr base::duration min_half_life{1500};
constexpr base::duration max_half_life{12'000};
constexpr double half_life_request_count = 4.0;
// Weight of one interval between requests in the smoothed interval.
constexpr double interval_weight = 0.2;
// The first probe of an unreachable target is sent after this delay, which doubles with
// each probe.
constexpr base::duration first_probe_delay{300};
constexpr base::duration max_probe_delay{2000};
// A target that said that it is leaving is probed later: by then the list names it as
// draining or no longer, unless it has restarted.
constexpr base::duration leaving_probe_delay{4000};
// What a target said of itself is kept for this time after it was listed last.
constexpr base::duration notice_retention{60'000};
// Added to the end of a warm-up, because the list and the target measure it on different
// clocks.
constexpr base::duration warmup_end_margin{200};

} // namespace

std::string target_directory::shortage::text() const
{
    return "listed=" + std::to_string(listed) + " draining=" + std::to_string(draining) +
           " cold=" + std::to_string(cold) + " evacuated=" + std::to_string(evacuated) +
           " unreachable=" + std::to_string(unreachable) +
           " leaving=" + std::to_string(leaving) + " paused=" + std::to_string(paused) +
           " excluded=" + std::to_string(excluded);
}

std::vector<base::target_id>
target_directory::apply(const deployment::listing_change& change)
{
    std::vector<base::target_id> removed_ids = change.removed;
    if (change.complete) {
        std::set<base::target_id> listed_ids;
        for (const deployment::listed_target& target : change.targets) {
            listed_ids.insert(target.id);
        }
        for (const auto& [id, state] : targets_) {
            if (!listed_ids.contains(id)) {
                removed_ids.push_back(id);
            }
        }
    }
    std::erase_if(retained_notices_, [&change](const auto& one) {
        return one.second.expires_at <= change.read_at;
    });
    for (const base::target_id& id : removed_ids) {
        retain_notice(id, change.read_at);
        remove(id);
    }
    for (const deployment::listed_target& target : change.targets) {
        add(target, change);
    }
    has_listing_ = true;
    read_at_ = std::max(read_at_, change.read_at);
    return removed_ids;
}

void target_directory::add(const deployment::listed_target& target,
                           const deployment::listing_change& change)
{
    const base::instant read_at = change.read_at;
    const auto found = targets_.find(target.id);
    const bool same_instance = found != targets_.end() &&
                               found->second.listed.address == target.address &&
                               found->second.listed.service == target.service;
    if (!same_instance) {
        remove(target.id);
    }
    versions_.on_listed(target.service, target.version, read_at, change.state_index);
    target_state& state = targets_[target.id];
    if (!same_instance) {
        services_[target.service].targets.push_back(&state);
        state.rank = std::hash<std::string>()(options_.own_name + target.id.str());
    }
    state.listed = target;
    if (!same_instance) {
        restore_notice(state, read_at);
    }
    if (target.remaining_cold_time > base::duration()) {
        state.cold_until = std::max(
            state.cold_until, read_at + target.remaining_cold_time + warmup_end_margin);
    }
}

void target_directory::remove(const base::target_id& id)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    const auto found_service = services_.find(found->second.listed.service);
    std::vector<target_state*>& others = found_service->second.targets;
    std::erase(others, &found->second);
    const std::string& version = found->second.listed.version;
    if (std::none_of(others.begin(), others.end(), [&version](const auto* other) {
            return other->listed.version == version;
        })) {
        versions_.on_unlisted(found_service->first, version);
    }
    if (found_service->second.targets.empty()) {
        services_.erase(found_service);
    }
    unreachable_targets_.erase(id);
    targets_.erase(found);
}

void target_directory::retain_notice(const base::target_id& id, base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    const target_state& target = found->second;
    if (target.leaving || now < target.paused_until) {
        retained_notices_[id] = {target.listed.address, target.leaving,
                                 target.paused_until, now + notice_retention};
    }
}

void target_directory::restore_notice(target_state& target, base::instant now)
{
    const auto found = retained_notices_.find(target.listed.id);
    if (found == retained_notices_.end()) {
        return;
    }
    if (found->second.address == target.listed.address) {
        target.paused_until = found->second.paused_until;
        target.leaving = found->second.leaving;
        if (target.leaving) {
            mark_unreachable(target, leaving_probe_delay, now);
        }
    }
    retained_notices_.erase(found);
}

void target_directory::confirm_listing(base::instant read_at)
{
    read_at_ = std::max(read_at_, read_at);
}

void target_directory::set_evacuated(std::set<base::zone_id> zones, base::instant now)
{
    for (const base::zone_id& zone : evacuated_) {
        if (!zones.contains(zone)) {
            zone_restored_at_[zone] = now;
        }
    }
    evacuated_ = std::move(zones);
}

bool target_directory::is_usable(const target_state& target, base::instant now) const
{
    const base::service_id& service = target.listed.service;
    return is_sound(target, now) &&
           (versions_.is_allowed(service, target.listed.version, now) ||
            (versions_.is_substitute(service, target.listed.version, now) &&
             needs_substitute(service, now)));
}

bool target_directory::needs_substitute(const base::service_id& service,
                                        base::instant now) const
{
    const std::vector<target_state*>& targets = services_.at(service).targets;
    return std::none_of(targets.begin(), targets.end(), [&](const target_state* target) {
        return versions_.is_allowed(service, target->listed.version, now) &&
               is_sound(*target, now);
    });
}

bool target_directory::is_sound(const target_state& target, base::instant now) const
{
    if (target.listed.draining || target.unreachable || now < target.cold_until ||
        now < target.paused_until || evacuated_.contains(target.listed.zone)) {
        return false;
    }
    const auto restored = zone_restored_at_.find(target.listed.zone);
    return restored == zone_restored_at_.end() ||
           read_at_ >= restored->second + options_.list_lag;
}

base::duration target_directory::service_state::half_life() const
{
    const auto unclamped = base::duration(
        static_cast<std::int64_t>(smoothed_interval_ms * half_life_request_count));
    return std::clamp(unclamped, min_half_life, max_half_life);
}

void target_directory::service_state::on_sent(base::duration latency, base::instant now)
{
    expected_latency = latency;
    if (last_sent_at != base::instant()) {
        const auto interval = static_cast<double>((now - last_sent_at).count());
        smoothed_interval_ms += (interval - smoothed_interval_ms) *
                                (smoothed_interval_ms == 0 ? 1.0 : interval_weight);
    }
    last_sent_at = now;
}

double target_directory::zone_cost(const service_state& service) const
{
    if (options_.zone_cost <= base::duration()) {
        return 0;
    }
    const double in_latencies =
        service.expected_latency <= base::duration()
            ? max_zone_cost
            : std::min(max_zone_cost,
                       static_cast<double>(options_.zone_cost.count()) /
                           static_cast<double>(service.expected_latency.count()));
    return target_estimate::baseline_cost * in_latencies;
}

double target_directory::selection_cost(const target_state& target,
                                        base::duration half_life, double zone_cost,
                                        base::instant now) const
{
    double result = target.estimate.cost(half_life, now);
    if (target.listed.zone != options_.own_zone) {
        result = (result * other_zone_factor) + zone_cost;
    }
    if (!has_free_connection(target)) {
        result *= unconnected_factor;
    }
    if (suspects_.contains(target.listed.id)) {
        result *= suspect_factor;
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
    const base::duration half_life = listed->second.half_life();
    const double of_leaving = zone_cost(listed->second);
    const std::string* const ordered = versions_.running_version(service);
    const bool allows_ordered =
        ordered != nullptr && (versions_.allows_next(service, now) ||
                               versions_.is_substitute(service, *ordered, now));
    const target_state* best = nullptr;
    bool best_is_ordered = false;
    double best_cost = 0;
    for (const target_state* const candidate : listed->second.targets) {
        const target_state& target = *candidate;
        if (!is_usable(target, now) || std::find(excluded.begin(), excluded.end(),
                                                 target.listed.id) != excluded.end()) {
            continue;
        }
        // A roll-out must see its share of the requests, whatever its targets cost.
        const bool is_ordered = ordered != nullptr && target.listed.version == *ordered;
        if ((is_ordered && !allows_ordered) || (best_is_ordered && !is_ordered)) {
            continue;
        }
        const double value = selection_cost(target, half_life, of_leaving, now);
        // Each VM ranks equal targets in its own order, which spreads the load and lets
        // the VM reuse its connections.
        if (best == nullptr || is_ordered != best_is_ordered || value < best_cost ||
            (value == best_cost && target.rank < best->rank)) {
            best = &target;
            best_is_ordered = is_ordered;
            best_cost = value;
        }
    }
    return best == nullptr ? nullptr : &best->listed;
}

bool target_directory::is_usable(const base::target_id& id, base::instant now) const
{
    const auto found = targets_.find(id);
    return found != targets_.end() && is_usable(found->second, now);
}

bool target_directory::has_free_connection(const base::service_id& service,
                                           base::instant now) const
{
    const auto listed = services_.find(service);
    return listed != services_.end() &&
           std::any_of(listed->second.targets.begin(), listed->second.targets.end(),
                       [&](const target_state* target) {
                           return is_usable(*target, now) && has_free_connection(*target);
                       });
}

std::vector<const base::zone_id*>
target_directory::usable_zones(const base::service_id& service, base::instant now) const
{
    std::vector<const base::zone_id*> zones;
    const auto listed = services_.find(service);
    if (listed != services_.end()) {
        for (const target_state* const target : listed->second.targets) {
            if (is_usable(*target, now)) {
                zones.push_back(&target->listed.zone);
            }
        }
    }
    return zones;
}

std::vector<const base::zone_id*>
target_directory::preferred_zones(const base::service_id& service,
                                  base::instant now) const
{
    std::vector<const base::zone_id*> zones;
    const auto listed = services_.find(service);
    if (listed != services_.end()) {
        for (const target_state* const target : listed->second.targets) {
            if (is_usable(*target, now) && !suspects_.contains(target->listed.id)) {
                zones.push_back(&target->listed.zone);
            }
        }
    }
    return zones.empty() ? usable_zones(service, now) : zones;
}

target_directory::shortage target_directory::explain(const base::service_id& service,
                                                     base::instant now) const
{
    shortage result;
    const auto listed = services_.find(service);
    if (listed == services_.end()) {
        return result;
    }
    for (const target_state* const candidate : listed->second.targets) {
        const target_state& target = *candidate;
        ++result.listed;
        result.draining += target.listed.draining ? 1 : 0;
        result.unreachable += target.unreachable ? 1 : 0;
        result.leaving += target.leaving ? 1 : 0;
        result.paused += now < target.paused_until ? 1 : 0;
        result.cold += now < target.cold_until ? 1 : 0;
        result.excluded +=
            versions_.is_allowed(service, target.listed.version, now) ? 0 : 1;
        result.evacuated += evacuated_.contains(target.listed.zone) ? 1 : 0;
    }
    return result;
}

const deployment::listed_target* target_directory::find(const base::target_id& id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second.listed;
}

void target_directory::on_sent(const base::target_id& id, base::duration expected_latency,
                               base::instant now)
{
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.estimate.on_sent(expected_latency, now);
        services_[found->second.listed.service].on_sent(expected_latency, now);
        versions_.on_sent(found->second.listed.service, found->second.listed.version,
                          now);
    }
}

std::vector<deployment::version_answers> target_directory::answers_by_version() const
{
    std::vector<deployment::version_answers> result = versions_.answers();
    for (deployment::version_answers& one : result) {
        const auto listed = services_.find(one.service);
        if (listed == services_.end()) {
            continue;
        }
        for (const target_state* const target : listed->second.targets) {
            if (target->listed.version == one.version) {
                one.open += static_cast<std::uint32_t>(target->estimate.outstanding());
            }
        }
    }
    return result;
}

bool target_directory::on_notice(const base::target_id& id, const target_notice& notice,
                                 base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end() || notice.empty()) {
        return false;
    }
    target_state& target = found->second;
    const bool was_usable = is_usable(target, now);
    target.paused_until = std::max(target.paused_until, now + notice.pause);
    if (notice.leaving && !target.leaving) {
        target.leaving = true;
        mark_unreachable(target, leaving_probe_delay, now);
    }
    return was_usable;
}

std::optional<base::duration>
target_directory::shortest_pause(const base::service_id& service, base::instant now) const
{
    std::optional<base::duration> shortest;
    const auto listed = services_.find(service);
    if (listed == services_.end()) {
        return shortest;
    }
    for (const target_state* const target : listed->second.targets) {
        if (now < target->paused_until && !target->unreachable) {
            const base::duration pause = target->paused_until - now;
            shortest = std::min(shortest.value_or(pause), pause);
        }
    }
    return shortest;
}

void target_directory::mark_unreachable(target_state& target, base::duration probe_delay,
                                        base::instant now)
{
    if (!target.unreachable) {
        target.unreachable = true;
        unreachable_targets_.insert(target.listed.id);
        target.probe_delay = probe_delay;
        target.probe_at = now + target.probe_delay;
    }
}

void target_directory::on_answer(const base::target_id& id, response_kind kind,
                                 base::duration latency, base::duration expected_latency,
                                 base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    record_sample(target, kind, latency, expected_latency);
    versions_.on_answer(target.listed.service, target.listed.version, kind, latency,
                        expected_latency);
    const base::duration half_life = services_[target.listed.service].half_life();
    if (target.estimate.on_answer(kind, latency, expected_latency, half_life, now)) {
        mark_unreachable(target, first_probe_delay, now);
    }
}

void target_directory::record_sample(const target_state& target, response_kind kind,
                                     base::duration latency,
                                     base::duration expected_latency)
{
    if (!is_rarely_used(target.listed.service) || samples_.size() >= max_sample_count) {
        return;
    }
    const bool is_late = expected_latency > base::duration() &&
                         latency > expected_latency * bad_latency_factor;
    if (kind == response_kind::withdrawn) {
        return;
    }
    const bool is_cancelled = kind == response_kind::cancelled;
    if (is_cancelled && !is_late) {
        return;
    }
    if (++responses_since_sample_ < responses_per_sample_) {
        return;
    }
    responses_since_sample_ = 0;
    deployment::target_sample& sample = samples_[target.listed.id];
    ++sample.answers;
    sample.bad += is_late || (!is_cancelled && kind != response_kind::success) ? 1 : 0;
}

void target_directory::set_vm_count(std::size_t count)
{
    responses_per_sample_ = 1 + count / max_sampling_vm_count;
}

bool target_directory::is_rarely_used(const base::service_id& service) const
{
    const auto found = services_.find(service);
    return found != services_.end() &&
           found->second.smoothed_interval_ms >=
               static_cast<double>(rare_request_interval.count());
}

std::vector<deployment::target_sample> target_directory::take_samples()
{
    std::vector<deployment::target_sample> result;
    result.reserve(samples_.size());
    for (auto& [id, sample] : samples_) {
        sample.id = id;
        result.push_back(std::move(sample));
    }
    samples_.clear();
    return result;
}

std::vector<base::target_id>
target_directory::due_preconnections(std::span<const base::service_id> services,
                                     std::size_t max_count, base::instant now)
{
    std::vector<base::target_id> due;
    std::vector<base::target_id> skipped;
    const std::size_t services_to_check =
        (services.size() + preconnect_calls_per_cycle - 1) / preconnect_calls_per_cycle;
    for (std::size_t i = 0; i < services_to_check; ++i) {
        const base::service_id& service =
            services[next_service_index_++ % services.size()];
        const auto listed = services_.find(service);
        if (listed == services_.end() || due.size() >= max_count) {
            continue;
        }
        if (has_free_connection(service, now)) {
            continue;
        }
        skipped.clear();
        for (const target_state* const target : listed->second.targets) {
            if (now < target->preconnect_retry_at) {
                skipped.push_back(target->listed.id);
            }
        }
        const auto* next = choose(service, skipped, now);
        if (next != nullptr) {
            targets_.at(next->id).preconnected_at = now;
            due.push_back(next->id);
        }
    }
    return due;
}

void target_directory::set_connections(const base::target_id& id, std::size_t count,
                                       base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    const bool closed = count < target.connections && target.estimate.outstanding() == 0;
    if (closed && now - target.preconnected_at < max_refused_connection_age) {
        target.preconnect_retry_delay =
            std::clamp(target.preconnect_retry_delay * 2, min_preconnect_retry_delay,
                       max_preconnect_retry_delay);
        target.preconnect_retry_at = now + target.preconnect_retry_delay;
    }
    else if (closed) {
        target.preconnect_retry_delay = base::duration();
    }
    target.connections = count;
}

std::vector<base::target_id> target_directory::due_probes(base::instant now)
{
    std::vector<base::target_id> due;
    for (const base::target_id& id : unreachable_targets_) {
        target_state& target = targets_.at(id);
        if (target.probe_at <= now && target.paused_until <= now) {
            target.probe_delay = std::min(target.probe_delay * 2, max_probe_delay);
            target.probe_at = now + target.probe_delay;
            // A draining target gets no requests, so its health does not matter.
            if (!target.listed.draining) {
                due.push_back(id);
            }
        }
    }
    return due;
}

void target_directory::on_healthy(const base::target_id& id,
                                  base::duration remaining_cold_time, base::instant now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    target.unreachable = false;
    target.leaving = false;
    unreachable_targets_.erase(id);
    target.estimate.on_healthy();
    if (remaining_cold_time > base::duration()) {
        target.cold_until =
            std::max(target.cold_until, now + remaining_cold_time + warmup_end_margin);
    }
}

} // namespace curranthoist::forwarding
