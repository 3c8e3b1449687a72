#include "curranthoist/forwarding/team_admission.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::forwarding {

namespace {

constexpr double milliseconds_per_second = 1000.0;
constexpr base::duration min_wait{100};
// All VMs have reported to a new leader by then, and heard it.
constexpr base::duration measuring_time{400};
// A leader that was silent for longer may have lost its accounts.
constexpr base::duration max_absence{1600};
// Credit that is not used does not grow beyond this many requests.
constexpr double max_credit = 2.0;
constexpr double max_own_part = 1.0;
// The part of a team's rate that VMs without a leader admit in sum, beside the request
// that each VM may admit at once.
constexpr double own_rate_part = 0.5;
// A VM that has not heard the leader for less than this time may admit one request of
// each team at once. The requests of a team that turned hot reach most VMs in a longer
// time.
constexpr base::duration whole_time{1700};
// The part of the slack that the equal parts of all VMs hold beside the burst. The rest
// is left to what they admitted just before.
constexpr double own_slack_part = 0.75;
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
                         state{random_.unit(), max_own_part, now, 1.0, {}, 0, 0, 0, 0})
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
    const bool leader_counts =
        hears_leader(now) && (now >= leader_new_until_ || one.admitted_part < 1.0);
    const auto vms = static_cast<double>(vm_count_);
    const double own_rate = team.rate / vms;
    one.own_part =
        std::min(one.own_part + own_rate * (leader_counts ? 1.0 : own_rate_part) *
                                    (now - one.filled_at).seconds(),
                 max_own_part);
    one.filled_at = now;
    if (!unanswered_since_) {
        unanswered_since_ = now;
    }
    if (leader_counts) {
        one.credit = std::min(one.credit + one.admitted_part, max_credit);
        if (one.credit < 1.0) {
            return std::max(one.wait, min_wait);
        }
        one.credit -= 1.0;
        one.own_part = std::max(one.own_part - 1.0, -own_rate * max_debt.seconds());
    }
    else if (!spend_own_part(one, (team.burst + slack_ * own_slack_part) / vms, now)) {
        return std::max(min_wait, base::duration(static_cast<std::int64_t>(
                                      milliseconds_per_second / team.rate)));
    }
    ++one.admitted;
    return std::nullopt;
}

bool team_admission::hears_leader(base::instant now) const
{
    return now - leader_heard_ < max_silence &&
           (!unanswered_since_ || now - *unanswered_since_ < max_unanswered);
}

bool team_admission::spend_own_part(state& one, double fair_part, base::instant now)
{
    const bool is_long_alone =
        now - leader_heard_ >= whole_time || (now < leader_new_until_ && was_long_alone_);
    if (!is_long_alone) {
        if (one.own_part < 1.0) {
            return false;
        }
        one.own_part -= 1.0;
        return true;
    }
    one.own_part = std::min(one.own_part, fair_part);
    return one.own_part > 0 && random_.unit() < std::exchange(one.own_part, 0.0);
}

void team_admission::set_shares(std::span<const deployment::team_share> shares)
{
    for (auto& [name, one] : teams_) {
        if (leader_heard_ >= leader_new_until_) {
            one.admitted_part = 1.0;
            one.wait = {};
        }
    }
    for (const deployment::team_share& share : shares) {
        state& one = state_of(share.team, leader_heard_);
        one.admitted_part = leader_heard_ >= leader_new_until_
                                ? share.admitted_part
                                : std::min(one.admitted_part, share.admitted_part);
        one.wait = share.wait;
    }
}

void team_admission::on_leader(const base::endpoint& leader, base::term term,
                               base::instant now)
{
    const bool is_new = leader_ && (*leader_ != leader || leader_term_ != term ||
                                    now - leader_heard_ >= max_absence);
    if (is_new) {
        leader_new_until_ = now + measuring_time;
        was_long_alone_ = now - leader_heard_ >= whole_time;
    }
    leader_ = leader;
    leader_term_ = term;
    leader_heard_ = now;
    unanswered_since_.reset();
    for (auto& [name, one] : teams_) {
        if (is_new) {
            // The reports went to the one before. What arrived in a longer time than that
            // of a report would look like a higher rate.
            one.reported_arrived = 0;
            one.reported_admitted = 0;
            one.arrived = 0;
        }
        one.arrived -= std::exchange(one.reported_arrived, 0);
        one.admitted -= std::exchange(one.reported_admitted, 0);
        if (one.arrived > 0 || one.admitted > 0) {
            unanswered_since_ = now;
        }
    }
}

std::vector<deployment::team_use> team_admission::report_uses()
{
    std::vector<deployment::team_use> result;
    for (auto& [name, one] : teams_) {
        one.reported_arrived = one.arrived;
        one.reported_admitted = one.admitted;
        if (one.arrived > 0 || one.admitted > 0) {
            result.push_back({name, one.arrived, one.admitted});
        }
    }
    return result;
}

} // namespace curranthoist::forwarding
