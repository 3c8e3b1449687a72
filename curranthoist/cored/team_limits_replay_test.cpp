// Plays the limits of many skewed teams over many VMs with lost reports, a change of the
// leader, and VMs that are killed and started.
#include "curranthoist/cored/team_accounts.hpp"
#include "curranthoist/forwarding/team_admission.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::cored {
namespace {

using namespace base::literals;

constexpr std::size_t vm_count = 94;
constexpr std::size_t team_count = 87;
constexpr double usual_total_rate = 48.0;
constexpr base::term leader_term{1};
constexpr double skew = 1.2;
// A team's limit, as a multiple of its usual rate, and what the hot one sends.
constexpr double limit_factor = 1.6;
constexpr double hot_factor = 7.5;
// Of the rule on limits.
constexpr base::duration window{5000};
constexpr double overshoot = 0.1;
constexpr double slack = 20.0;
// A VM sends reports at ticks, which are late by up to this time.
constexpr base::duration tick_interval{200};
constexpr base::duration max_lateness{50};
// The leader computes shares at most once in this time.
constexpr base::duration shares_interval{100};

// What became of one team's requests.
struct team_record
{
    double usual = 0;
    // An account without delay: what the team may ask by its limit.
    double tokens = 0;
    base::instant filled_at;
    // Within the last window.
    std::deque<base::instant> admitted;
    double max_beyond = -1e9;
    // Since the beginning of this span of one window.
    std::size_t owed_in_span = 0;
    std::size_t admitted_in_span = 0;
    std::size_t owed = 0;
    // Fewer admitted than owed, by spans. What one span admitted too much may be taken
    // off the next, as the rule binds windows that reach over both.
    std::size_t missing = 0;
    std::size_t surplus = 0;
};

// What is played besides the load.
struct troubles
{
    double report_loss = 0;
    // The leader is lost at this time, for `leaderless`, and has a successor without
    // accounts.
    std::vector<base::instant> leader_changes;
    // One VM in so many is killed at this time and started two seconds later.
    std::vector<base::instant> kills;
    std::size_t killed_divisor = 10;
    base::duration leaderless = 1000_ms;
    // What all teams together send usually, in requests a second.
    double total_rate = usual_total_rate;
};

class limits_replay
{
public:
    limits_replay(std::uint64_t seed, troubles played, std::size_t hot_team)
        : random_(seed)
        , played_(std::move(played))
        , hot_team_(hot_team)
    {
        double sum = 0;
        for (std::size_t i = 0; i < team_count; ++i) {
            sum += std::pow(static_cast<double>(i + 1), -skew);
        }
        for (std::size_t i = 0; i < team_count; ++i) {
            const double usual =
                played_.total_rate * std::pow(static_cast<double>(i + 1), -skew) / sum;
            records_.push_back({});
            records_.back().usual = usual;
            records_.back().tokens = std::max(1.0, usual * limit_factor);
            records_.back().filled_at = now_;
            teams_.push_back({"team-" + std::to_string(i),
                              {},
                              0,
                              usual * limit_factor,
                              usual * limit_factor});
        }
        for (std::size_t i = 0; i < vm_count; ++i) {
            vms_.push_back(started_vm());
            vms_.back()->on_leader(leader(), leader_term, now_);
            next_tick_.push_back(
                now_ + base::duration(random_.between(0, tick_interval.count())));
            reported_at_.push_back(now_);
            down_until_.emplace_back();
        }
        // The leader has been there for a while when callers come.
        accounts_.set_teams(teams_, now_ - window);
    }

    // The hot team is hot in each span of `hot_length` after one of these times.
    void run(base::duration length, const std::vector<base::instant>& hot_since,
             base::duration hot_length)
    {
        const base::instant end = now_ + length;
        for (; now_ < end; now_ = now_ + 1_ms) {
            play_troubles();
            if ((now_ - begin_).count() % window.count() == 0) {
                end_span();
            }
            const bool is_hot =
                std::any_of(hot_since.begin(), hot_since.end(), [&](base::instant since) {
                    return now_ >= since && now_ < since + hot_length;
                });
            const double extra =
                is_hot ? records_[hot_team_].usual * (hot_factor - 1) : 0.0;
            // So few arrive in a millisecond that two at once don't matter.
            const double rate = played_.total_rate + extra;
            if (random_.chance(rate / 1000.0)) {
                arrive(random_.unit() * rate < extra ? hot_team_ : usual_team());
            }
            for (std::size_t vm = 0; vm < vm_count; ++vm) {
                if (now_ < next_tick_[vm]) {
                    continue;
                }
                next_tick_[vm] = now_ + tick_interval +
                                 base::duration(random_.between(0, max_lateness.count()));
                if (now_ - reported_at_[vm] >=
                    vms_[vm]->wanted_report_interval() - tick_interval / 2) {
                    reported_at_[vm] = now_;
                    report(vm);
                }
            }
        }
        end_span();
    }
    // By how many requests the worst window of any team is beyond the bound.
    [[nodiscard]] double max_beyond() const
    {
        double result = -1e9;
        for (const team_record& one : records_) {
            result = std::max(result, one.max_beyond);
        }
        return result;
    }
    // The part of the requests within the teams' limits in whose place none was admitted,
    // of the hot team and of the others.
    [[nodiscard]] double refused_below_limit(bool of_hot_team) const
    {
        std::size_t owed = 0;
        std::size_t missing = 0;
        for (std::size_t i = 0; i < team_count; ++i) {
            if ((i == hot_team_) == of_hot_team) {
                owed += records_[i].owed;
                missing += records_[i].missing;
            }
        }
        return static_cast<double>(missing) / static_cast<double>(owed);
    }
    [[nodiscard]] base::instant begin() const { return begin_; }

private:
    std::unique_ptr<forwarding::team_admission> started_vm()
    {
        auto vm = std::make_unique<forwarding::team_admission>(random_.next(), slack);
        vm->set_vm_count(vm_count);
        return vm;
    }
    [[nodiscard]] base::endpoint leader() const { return {"10.0.0.1", leaders_}; }
    void play_troubles()
    {
        for (const base::instant at : played_.leader_changes) {
            if (now_ == at) {
                leader_down_until_ = now_ + played_.leaderless;
            }
        }
        if (now_ == leader_down_until_) {
            ++leaders_;
            accounts_ = team_accounts(slack);
            accounts_.set_teams(teams_, now_);
        }
        for (const base::instant at : played_.kills) {
            if (now_ != at) {
                continue;
            }
            for (std::size_t vm = 0; vm < vm_count; vm += played_.killed_divisor) {
                down_until_[vm] = now_ + 2_s;
                vms_[vm] = started_vm();
            }
        }
    }
    std::size_t usual_team()
    {
        double drawn = random_.unit() * played_.total_rate;
        for (std::size_t i = 0; i < team_count; ++i) {
            if (drawn < records_[i].usual) {
                return i;
            }
            drawn -= records_[i].usual;
        }
        return team_count - 1;
    }
    void arrive(std::size_t team)
    {
        std::size_t vm = random_.below(vm_count);
        while (now_ < down_until_[vm]) {
            vm = random_.below(vm_count);
        }
        team_record& one = records_[team];
        const deployment::team& limit = teams_[team];
        one.tokens = std::min(one.tokens + limit.rate * (now_ - one.filled_at).seconds(),
                              std::max(1.0, limit.burst));
        one.filled_at = now_;
        if (one.tokens >= 1.0) {
            one.tokens -= 1.0;
            ++one.owed_in_span;
        }
        if (vms_[vm]->refusal(limit, now_)) {
            return;
        }
        ++one.admitted_in_span;
        one.admitted.push_back(now_);
        while (now_ - one.admitted.front() >= window) {
            one.admitted.pop_front();
        }
        const double bound =
            (limit.rate * window.seconds() + limit.burst) * (1 + overshoot) + slack;
        one.max_beyond =
            std::max(one.max_beyond, static_cast<double>(one.admitted.size()) - bound);
    }
    void end_span()
    {
        for (team_record& one : records_) {
            one.owed += one.owed_in_span;
            const std::size_t given = one.admitted_in_span + one.surplus;
            one.missing += one.owed_in_span - std::min(one.owed_in_span, given);
            one.surplus =
                one.admitted_in_span - std::min(one.owed_in_span, one.admitted_in_span);
            one.owed_in_span = 0;
            one.admitted_in_span = 0;
        }
    }
    void report(std::size_t vm)
    {
        if (now_ < down_until_[vm]) {
            return;
        }
        const auto uses = vms_[vm]->report_uses();
        if (now_ < leader_down_until_ || random_.chance(played_.report_loss)) {
            return;
        }
        accounts_.add(uses, now_);
        if (now_ - shares_at_ >= shares_interval) {
            shares_at_ = now_;
            shares_ = accounts_.shares(now_);
        }
        vms_[vm]->on_leader(leader(), leader_term, now_);
        vms_[vm]->set_shares(shares_);
    }

    base::random_source random_;
    troubles played_;
    std::size_t hot_team_;
    const base::instant begin_ = base::instant() + 100'000_ms;
    base::instant now_ = begin_;
    base::instant leader_down_until_;
    std::uint16_t leaders_ = 0;
    std::vector<deployment::team> teams_;
    std::vector<team_record> records_;
    std::vector<std::unique_ptr<forwarding::team_admission>> vms_;
    std::vector<base::instant> down_until_;
    std::vector<base::instant> reported_at_;
    std::vector<base::instant> next_tick_;
    team_accounts accounts_{slack};
    base::instant shares_at_;
    std::vector<deployment::team_share> shares_;
};

struct replay_result
{
    double max_beyond = -1e9;
    double refused_of_hot = 0;
    double refused_of_others = 0;
};

// The worst of some seeds, with each of the largest three teams hot twice.
replay_result play(const char* name, const troubles& played)
{
    replay_result result;
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const std::size_t hot_team : {0U, 1U, 2U}) {
            limits_replay replay(seed, played, hot_team);
            replay.run(40_s, {replay.begin() + 10_s, replay.begin() + 22_s}, 6500_ms);
            result.max_beyond = std::max(result.max_beyond, replay.max_beyond());
            result.refused_of_hot =
                std::max(result.refused_of_hot, replay.refused_below_limit(true));
            result.refused_of_others =
                std::max(result.refused_of_others, replay.refused_below_limit(false));
        }
    }
    std::cout << name << ": worst window " << result.max_beyond
              << " requests beyond the bound; refused below the limit, in 100: hot team "
              << result.refused_of_hot * 100 << ", others "
              << result.refused_of_others * 100 << "\n";
    return result;
}

constexpr base::instant replay_begin(100'000);

// Guards against a limit that holds only while every report arrives, one leader lives and
// no VM restarts.
TEST(team_limits_replay_test, the_bound_holds_with_lost_reports_leaders_and_vms)
{
    const std::vector<std::pair<const char*, troubles>> cases{
        {"calm", {}},
        {"a tenth of the reports lost", {0.1, {}, {}}},
        {"leader lost as the team turns hot", {0, {replay_begin + 10'300_ms}, {}}},
        {"leader lost while the team is hot", {0, {replay_begin + 24_s}, {}}},
        {"a tenth of the VMs killed",
         {0, {}, {replay_begin + 11_s, replay_begin + 23_s}}},
        {"half of the VMs killed",
         {0, {}, {replay_begin + 11_s, replay_begin + 23_s}, 2}},
        {"all together",
         {0.1, {replay_begin + 24_s}, {replay_begin + 11_s, replay_begin + 23_s}, 3}},
    };
    for (const auto& [name, played] : cases) {
        EXPECT_LE(play(name, played).max_beyond, 0) << name;
    }
}

struct rise_cases
{
    // What all teams together send.
    std::vector<double> total_rates;
    std::vector<base::duration> leaderless;
    // Of the rise, from the loss of the leader.
    int first_ms;
    int last_ms;
    std::uint64_t seeds;
};

// The leader is lost before or after the largest team turns hot.
void play_rises(const rise_cases& cases)
{
    constexpr int step_ms = 150;
    for (const double total_rate : cases.total_rates) {
        for (const base::duration leaderless : cases.leaderless) {
            for (int rise_ms = cases.first_ms; rise_ms <= cases.last_ms;
                 rise_ms += step_ms) {
                const troubles played{
                    0, {replay_begin + 10_s}, {}, 10, leaderless, total_rate};
                double max_beyond = -1e9;
                for (std::uint64_t seed = 1; seed <= cases.seeds; ++seed) {
                    limits_replay replay(seed, played, 0);
                    replay.run(18_s, {replay.begin() + 10_s + base::duration(rise_ms)},
                               6500_ms);
                    max_beyond = std::max(max_beyond, replay.max_beyond());
                }
                EXPECT_LE(max_beyond, 0)
                    << "all teams " << total_rate << "/s, leader lost for "
                    << leaderless.count() << " ms, rise after " << rise_ms << " ms";
            }
        }
    }
}

// Guards against VMs that admit everything between a team's rise and the time at which
// they take the leader for lost, and then an equal part on top of it.
TEST(team_limits_replay_test, the_bound_holds_for_a_rise_at_any_time_around_the_loss)
{
    // The largest team sends 3, 17 or 58 requests a second.
    play_rises({{12.0, 62.0, 204.0}, {1000_ms, 4000_ms}, -1200, 1500, 8});
}

// Guards against a bound that holds in most plays only. The slack is largest beside what
// these teams send, and so is the chance of a random count.
TEST(team_limits_replay_test, the_bound_holds_for_smaller_teams_in_many_plays)
{
    play_rises({{6.0, 12.0, 20.0, 30.0}, {1000_ms, 2200_ms}, -1050, 0, 60});
}

// Guards against an account that takes the crowd of a moment for a team beyond its limit,
// while another team is.
TEST(team_limits_replay_test, teams_within_their_limits_are_never_refused)
{
    EXPECT_EQ(play("calm", {}).refused_of_others, 0);
}

} // namespace
} // namespace curranthoist::cored
