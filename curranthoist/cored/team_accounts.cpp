#include "curranthoist/cored/team_accounts.hpp"

#include <algorithm>
#include <cmath>

namespace curranthoist::cored {

namespace {

constexpr double milliseconds_per_second = 1000.0;
// Demand is measured over this time. Shorter than the time in which a team that sends
// eight times its rate uses up its burst.
constexpr base::duration measured_time{400};
// A rise is looked for in this time too, as the leader may be lost before a whole
// measurement.
constexpr base::duration rise_time{200};
// Weight of the newest measurement.
constexpr double demand_weight = 0.6;
// The time over which a surplus or a debt of tokens is spread.
constexpr double spread_s = 1.0;
// Reports about this much of the demand are on their way; with fewer tokens than that a
// share is named.
constexpr double report_delay_s = 0.8;
// The part of the slack that an account holds beside the burst, and that reports on their
// way may take.
constexpr double slack_part = 0.25;

double seconds_between(base::instant later, base::instant earlier)
{
    return static_cast<double>((later - earlier).count()) / milliseconds_per_second;
}

} // namespace

void team_accounts::set_teams(std::span<const deployment::team> teams, base::instant now)
{
    std::map<std::string, account> next;
    for (const deployment::team& team : teams) {
        if (!team.is_limited()) {
            continue;
        }
        const auto known = accounts_.find(team.name);
        account one;
        if (known != accounts_.end()) {
            fill(known->second, now);
            one = known->second;
        }
        else {
            // A new leader hears of what VMs admitted since the answers of the one
            // before, not of what the team has sent before that: it may have used its
            // burst.
            one.tokens = slack_ * slack_part;
            one.filled_at = now;
            one.measured_at = now;
            one.rise_measured_at = now;
        }
        one.rate = team.rate;
        one.burst = team.burst;
        one.tokens = std::min(one.tokens, one.burst + slack_ * slack_part);
        next.emplace(team.name, one);
    }
    accounts_ = std::move(next);
}

void team_accounts::fill(account& one, base::instant now) const
{
    one.tokens = std::min(one.tokens + one.rate * seconds_between(now, one.filled_at),
                          one.burst + slack_ * slack_part);
    one.filled_at = now;
}

void team_accounts::measure(account& one, base::instant now)
{
    if (now - one.measured_at >= measured_time) {
        const double rate = one.arrived / seconds_between(now, one.measured_at);
        one.demand += (rate - one.demand) * demand_weight;
        one.arrived = 0;
        one.measured_at = now;
    }
    if (now - one.rise_measured_at >= rise_time) {
        one.last_risen_rate = risen_rate(one);
        one.risen = 0;
        one.rise_measured_at = now;
    }
}

double team_accounts::risen_rate(const account& one)
{
    // Less a deviation of a random count: a crowd of a moment is no rise.
    return std::max(0.0, one.risen - std::sqrt(one.risen)) / rise_time.seconds();
}

void team_accounts::add(std::span<const deployment::team_use> uses, base::instant now)
{
    for (const deployment::team_use& use : uses) {
        const auto found = accounts_.find(use.team);
        if (found != accounts_.end()) {
            account& one = found->second;
            fill(one, now);
            one.tokens -= use.admitted;
            one.arrived += use.arrived;
            one.risen += use.arrived;
        }
    }
}

std::vector<deployment::team_share> team_accounts::shares(base::instant now)
{
    std::vector<deployment::team_share> result;
    for (auto& [name, one] : accounts_) {
        fill(one, now);
        measure(one, now);
        one.admitted_part = 1.0;
        const double demand =
            std::max({one.demand,
                      one.arrived / std::max(seconds_between(now, one.measured_at),
                                             measured_time.seconds()),
                      one.last_risen_rate, risen_rate(one)});
        // What is admitted beyond the rate before a share reaches the VMs.
        const double on_its_way = std::max(0.0, demand - one.rate) * report_delay_s;
        const bool is_short =
            one.tokens < std::max(0.0, on_its_way - slack_ * slack_part);
        if (!is_short || demand <= 0) {
            continue;
        }
        const double fitting = one.rate + one.tokens / spread_s;
        const double part = std::clamp(fitting / demand, 0.0, 1.0);
        if (part < 1.0) {
            one.admitted_part = part;
            const double wait_s =
                std::max(0.0, 1.0 - one.tokens) / std::max(one.rate, 0.001);
            result.push_back({name, part,
                              base::duration(static_cast<std::int64_t>(
                                  wait_s * milliseconds_per_second))});
        }
    }
    return result;
}

std::vector<team_standing> team_accounts::standings(base::instant now) const
{
    std::vector<team_standing> result;
    for (auto [name, one] : accounts_) {
        fill(one, now);
        result.push_back(
            {name, one.rate, one.burst, one.tokens, one.demand, one.admitted_part});
    }
    return result;
}

} // namespace curranthoist::cored
