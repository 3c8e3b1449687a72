#include "curranthoist/forwarding/team_shares.hpp"

#include <algorithm>
#include <cmath>

namespace curranthoist::forwarding {

namespace {

// A team that has sent nothing for this long has no share. What it sent has faded by
// then.
constexpr base::duration idle_time = team_shares::measured_time * 6;
// Credit that is not used does not grow beyond this many requests.
constexpr double max_credit = 2.0;

double remaining_part(base::duration passed, base::duration time)
{
    return std::exp(-passed.seconds() / time.seconds());
}

} // namespace

double team_shares::fading_sum::at(base::instant now) const
{
    return sum_ * remaining_part(now - added_at_, measured_time);
}

void team_shares::fading_sum::add(double amount, base::instant now)
{
    sum_ = at(now) + amount;
    added_at_ = now;
}

std::size_t team_shares::more_urgent(request_priority priority, base::instant now) const
{
    const auto count = std::count_if(
        priorities_.begin(), priorities_.lower_bound(priority),
        [now](const auto& one) { return now - one.second < measured_time; });
    return std::min(static_cast<std::size_t>(count), max_priority_parts);
}

double team_shares::mean_arrived(base::instant now) const
{
    return teams_.empty() ? 0.0 : arrived_.at(now) / static_cast<double>(teams_.size());
}

double team_shares::fitting_part(const team_state& one, double used,
                                 base::instant now) const
{
    if (used <= free_part) {
        return 1.0;
    }
    const double fair =
        mean_arrived(now) * std::max(0.0, 1.0 - used) / (used - free_part);
    // Without the request that arrives: a team that sends little would seem to send much
    // whenever it sends.
    const double own = one.arrived.at(now);
    return own <= fair ? 1.0 : fair / own;
}

team_shares::verdict team_shares::decide(std::string_view team, request_priority priority,
                                         const request_room& room, base::instant now)
{
    if (team.empty()) {
        return verdict::admitted;
    }
    forget_idle(now);
    average_room(room.used, now);
    auto found = teams_.find(team);
    if (found == teams_.end()) {
        found = teams_.emplace(std::string(team), team_state()).first;
    }
    team_state& one = found->second;
    priorities_[priority] = now;
    const double less_room =
        priority_part * static_cast<double>(more_urgent(priority, now));
    const double by_share = fitting_part(one, mean_used_, now);
    const double by_priority = fitting_part(one, mean_used_ + less_room, now);
    const double all = arrived_.at(now);
    const double min_part =
        all > 0 ? min_relative_service * std::min(1.0, admitted_.at(now) / all) : 1.0;
    one.credit = std::min(one.credit + std::max(by_priority, min_part), max_credit);
    one.arrived.add(room.cost, now);
    one.arrived_at = now;
    arrived_.add(room.cost, now);
    if (!room.fits) {
        return verdict::no_room;
    }
    if (one.credit >= 1.0) {
        one.credit -= 1.0;
        admitted_.add(room.cost, now);
        return verdict::admitted;
    }
    return by_share < 1.0 ? verdict::above_share : verdict::less_urgent;
}

bool team_shares::is_above_share(std::string_view team, base::instant now) const
{
    const auto found = teams_.find(team);
    return found != teams_.end() && found->second.arrived.at(now) > mean_arrived(now);
}

void team_shares::average_room(double used, base::instant now)
{
    mean_used_ += (used - mean_used_) * (1.0 - remaining_part(now - used_at_, room_time));
    used_at_ = now;
}

void team_shares::forget_idle(base::instant now)
{
    if (now - forgot_at_ < measured_time) {
        return;
    }
    forgot_at_ = now;
    std::erase_if(priorities_,
                  [now](const auto& one) { return now - one.second >= measured_time; });
    std::erase_if(teams_, [now](const auto& one) {
        return now - one.second.arrived_at >= idle_time;
    });
}

} // namespace curranthoist::forwarding
