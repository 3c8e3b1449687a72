#include "curranthoist/forwarding/team_admission.hpp"

#include <algorithm>

namespace curranthoist::forwarding {

namespace {

constexpr double milliseconds_per_second = 1000.0;
constexpr base::duration min_wait{100};
// Credit that is not used does not grow beyond this many requests.
constexpr double max_credit = 2.0;

} // namespace

team_admission::state& team_admission::state_of(const std::string& team,
                                                base::instant now)
{
    const auto found = teams_.find(team);
    return found != teams_.end()
               ? found->second
               : teams_.emplace(team, state{random_.unit(), now, 1.0, {}, 0, 0})
                     .first->second;
}

std::optional<base::duration> team_admission::refusal(const deployment::team& team,
                                                      base::instant now)
{
    if (!team.is_limited()) {
        return std::nullopt;
    }
    state& one = state_of(team.name, now);
    ++one.arrived;
    const bool hears_leader = now - leader_heard_ < max_silence;
    const double own_rate = team.rate / static_cast<double>(vm_count_);
    if (hears_leader) {
        one.credit += one.admitted_part;
    }
    else {
        const auto passed = static_cast<double>((now - one.credited_at).count());
        one.credit += own_rate * passed / milliseconds_per_second;
    }
    one.credited_at = now;
    one.credit = std::min(one.credit, max_credit);
    if (one.credit >= 1.0) {
        one.credit -= 1.0;
        ++one.admitted;
        return std::nullopt;
    }
    return hears_leader ? std::max(one.wait, min_wait)
                        : base::duration(static_cast<std::int64_t>(
                              (1.0 - one.credit) / own_rate * milliseconds_per_second));
}

void team_admission::set_shares(std::span<const deployment::team_share> shares)
{
    for (auto& [name, one] : teams_) {
        one.admitted_part = 1.0;
        one.wait = {};
    }
    for (const deployment::team_share& share : shares) {
        state& one = state_of(share.team, leader_heard_);
        one.admitted_part = share.admitted_part;
        one.wait = share.wait;
    }
}

std::vector<deployment::team_use> team_admission::take_uses()
{
    std::vector<deployment::team_use> result;
    for (auto& [name, one] : teams_) {
        if (one.arrived > 0) {
            result.push_back({name, one.arrived, one.admitted});
            one.arrived = 0;
            one.admitted = 0;
        }
    }
    return result;
}

} // namespace curranthoist::forwarding
