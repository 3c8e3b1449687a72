#include "curranthoist/cored/zone_loads.hpp"

#include <algorithm>
#include <cmath>

namespace curranthoist::cored {

namespace {

// A change of a share by this much is returned for a log line.
constexpr double reported_step = 1.0 / 8;
constexpr double ms_per_s = 1000.0;

double decay(base::duration elapsed, base::duration half_life)
{
    return std::pow(0.5, static_cast<double>(elapsed.count()) /
                             static_cast<double>(half_life.count()));
}

} // namespace

std::optional<double> zone_loads::zone_state::wait() const
{
    return successes < min_successes ? std::nullopt : std::optional(time_ms / successes);
}

void zone_loads::add(const std::string& vm, const base::zone_id& vm_zone,
                     base::duration cost,
                     std::span<const deployment::zone_answers> answers, base::instant now)
{
    zones_[vm_zone].cost = cost;
    const auto [known, is_new] = vms_.try_emplace(vm);
    known->second.reported_at = now;
    for (const deployment::zone_answers& one : answers) {
        const auto [last, is_first] = known->second.last.try_emplace(one.zone, one);
        const deployment::zone_answers before = std::exchange(last->second, one);
        // What a VM saw before its first report to this leader may be long ago; lower
        // counts are those of a VM that has restarted.
        if (is_first || one.successes < before.successes ||
            one.time_ms < before.time_ms) {
            continue;
        }
        zone_state& zone = zones_[one.zone];
        zone.successes += static_cast<double>(one.successes - before.successes);
        zone.time_ms += static_cast<double>(one.time_ms - before.time_ms);
    }
}

void zone_loads::age(base::instant now)
{
    const base::duration elapsed = now - updated_at_;
    const double kept = decay(elapsed, half_life);
    const double usual_kept = decay(elapsed, usual_half_life);
    for (auto& [name, zone] : zones_) {
        zone.successes *= kept;
        zone.time_ms *= kept;
        if (const auto wait = zone.wait()) {
            const double usual = zone.usual_ms.value_or(*wait);
            zone.usual_ms = std::min(*wait, *wait + ((usual - *wait) * usual_kept));
        }
    }
    std::erase_if(vms_, [now](const auto& one) {
        return now - one.second.reported_at > report_limit;
    });
}

bool zone_loads::receives(const base::zone_id& zone) const
{
    return std::any_of(zones_.begin(), zones_.end(), [&zone](const auto& one) {
        return one.second.share > 0 && one.second.to == zone;
    });
}

const base::zone_id* zone_loads::best_receiver(const base::zone_id& from) const
{
    const base::zone_id* best = nullptr;
    double best_wait = 0;
    for (const auto& [name, zone] : zones_) {
        const auto wait = zone.wait();
        if (name == from || zone.share > 0 || !wait) {
            continue;
        }
        if (best == nullptr || *wait < best_wait) {
            best = &name;
            best_wait = *wait;
        }
    }
    return best;
}

void zone_loads::move_share(const base::zone_id& name, zone_state& zone,
                            base::instant now, double seconds)
{
    if (zone.share <= 0) {
        const base::zone_id* const best = receives(name) ? nullptr : best_receiver(name);
        if (best == nullptr) {
            zone.excess_since = base::instant::max();
            return;
        }
        zone.to = *best;
    }
    const auto wait = zone.wait();
    const zone_state& other = zones_.at(zone.to);
    const auto other_wait = other.wait();
    if (!wait || !other_wait) {
        // Without a measure the load comes back.
        zone.share = std::max(0.0, zone.share - (max_fall_per_s * seconds));
        zone.excess_since = base::instant::max();
        return;
    }
    const auto cost = static_cast<double>(zone.cost.count());
    const double excess = *wait - *other_wait;
    const double slowdown = *other_wait - other.usual_ms.value_or(*other_wait);
    if (excess <= cost) {
        zone.excess_since = base::instant::max();
    }
    else if (zone.excess_since == base::instant::max()) {
        zone.excess_since = now;
    }
    if (slowdown > cost) {
        zone.share = std::max(0.0, zone.share - (max_rise_per_s * seconds));
    }
    else if (excess < cost / 2) {
        zone.share = std::max(0.0, zone.share - (max_fall_per_s * seconds));
    }
    else if (excess > cost && slowdown < cost / 2 &&
             now - zone.excess_since >= start_delay) {
        zone.share = std::min(max_share, zone.share + (max_rise_per_s * seconds));
    }
}

std::vector<zone_loads::change> zone_loads::update(base::instant now)
{
    const double seconds =
        std::min(1.0, static_cast<double>((now - updated_at_).count()) / ms_per_s);
    age(now);
    updated_at_ = now;
    std::vector<change> changes;
    for (auto& [name, zone] : zones_) {
        move_share(name, zone, now, seconds);
        if (zone.share < min_share && zone.excess_since == base::instant::max()) {
            zone.share = 0;
        }
        const bool begins_or_ends = (zone.share > 0) != (zone.returned_share > 0);
        if (begins_or_ends ||
            std::abs(zone.share - zone.returned_share) >= reported_step) {
            const zone_state& other = zones_.at(zone.to);
            changes.push_back({{name, zone.to, zone.share},
                               zone.returned_share,
                               zone.wait().value_or(-1),
                               other.wait().value_or(-1),
                               other.usual_ms.value_or(-1),
                               static_cast<double>(zone.cost.count())});
            zone.returned_share = zone.share;
        }
    }
    return changes;
}

std::optional<deployment::zone_share>
zone_loads::share_of(const base::zone_id& zone) const
{
    const auto found = zones_.find(zone);
    return found == zones_.end() || found->second.share <= 0
               ? std::nullopt
               : std::optional(
                     deployment::zone_share{zone, found->second.to, found->second.share});
}

} // namespace curranthoist::cored
