#include "curranthoist/forwarding/team_admission.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::forwarding {

namespace {

constexpr double milliseconds_per_second = 1000.0;
constexpr base::duration min_wait{100};
// Credit that is not used does not grow beyond this many requests.
constexpr double max_credit = 2.0;
constexpr double max_own_part = 1.0;
// After a time without a leader it may be a new one, which knows what teams send after
// two rounds of reports.
constexpr base::duration measuring_time{800};
// The time in which a VM without a leader has made up for what it admitted before.
constexpr base::duration max_debt{5000};

} // namespace

team_admission::state& team_admission::state_of(const std::string& team,
                                                base::instant now)
{
    const auto found = teams_.find(team);
    return found != teams_.end()
               ? found->second
               : teams_
                     .emplace(
                         team,
                         state{random_.unit(), random_.unit(), now, 1.0, {}, 0, 0, 0, 0})
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
    const double own_rate = team.rate / static_cast<double>(vm_count_);
    one.own_part =
        std::min(one.own_part + own_rate * (now - one.filled_at).seconds(), max_own_part);
    one.filled_at = now;
    const base::duration silence = now - leader_heard_;
    if (silence < (one.own_part < 0 ? max_silence_in_debt : max_silence)) {
        one.credit = std::min(one.credit + one.admitted_part, max_credit);
        if (one.credit < 1.0) {
            return std::max(one.wait, min_wait);
        }
        one.credit -= 1.0;
    }
    else if (one.own_part < 1.0) {
        return base::duration(static_cast<std::int64_t>((1.0 - one.own_part) / own_rate *
                                                        milliseconds_per_second));
    }
    one.own_part = std::max(one.own_part - 1.0, -own_rate * max_debt.seconds());
    ++one.admitted;
    return std::nullopt;
}

void team_admission::set_shares(std::span<const deployment::team_share> shares)
{
    for (auto& [name, one] : teams_) {
        if (leader_heard_ >= shares_kept_until_) {
            one.admitted_part = 1.0;
            one.wait = {};
        }
    }
    for (const deployment::team_share& share : shares) {
        state& one = state_of(share.team, leader_heard_);
        one.admitted_part = leader_heard_ >= shares_kept_until_
                                ? share.admitted_part
                                : std::min(one.admitted_part, share.admitted_part);
        one.wait = share.wait;
    }
}

void team_admission::on_leader(base::instant now)
{
    if (now - leader_heard_ >= max_silence) {
        shares_kept_until_ = now + measuring_time;
    }
    leader_heard_ = now;
    for (auto& [name, one] : teams_) {
        one.arrived -= std::exchange(one.reported_arrived, 0);
        one.admitted -= std::exchange(one.reported_admitted, 0);
    }
}

std::vector<deployment::team_use> team_admission::report_uses()
{
    std::vector<deployment::team_use> result;
    for (auto& [name, one] : teams_) {
        one.reported_arrived = one.arrived;
        one.reported_admitted = one.admitted;
        if (one.arrived > 0) {
            result.push_back({name, one.arrived, one.admitted});
        }
    }
    return result;
}

} // namespace curranthoist::forwarding
