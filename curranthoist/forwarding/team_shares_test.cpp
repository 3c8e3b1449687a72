#include "curranthoist/base/random_source.hpp"
#include "curranthoist/forwarding/open_request_limit.hpp"
#include "curranthoist/forwarding/team_shares.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::forwarding {
namespace {

using namespace base::literals;

struct played_team
{
    std::string name;
    double rate = 0;
    unsigned priority = 0;
    std::size_t arrived = 0;
    std::size_t served = 0;

    [[nodiscard]] double service() const
    {
        return arrived == 0 ? 1.0
                            : static_cast<double>(served) / static_cast<double>(arrived);
    }
};

double service_of_all(const std::vector<played_team>& teams)
{
    played_team sum;
    for (const played_team& one : teams) {
        sum.arrived += one.arrived;
        sum.served += one.served;
    }
    return sum.service();
}

// One VM with room for 100 requests, each of which is open for 200 to 400 ms: it serves
// about 330 a second.
class room_replay
{
public:
    enum class rule
    {
        room_only,
        shares,
    };

    explicit room_replay(std::vector<played_team> teams)
        : teams_(std::move(teams))
    {}

    void run(rule played, base::duration length)
    {
        for (const base::instant end = now_ + length; now_ < end; now_ = now_ + 1_ms) {
            open_.erase(open_.begin(), open_.lower_bound(now_));
            for (played_team& one : teams_) {
                if (random_.chance(one.rate / 1000.0)) {
                    arrive(played, one);
                }
            }
            used_ += limit_.room_for(1).used;
            ++turns_;
        }
    }
    void set_rate(std::size_t team, double rate) { teams_[team].rate = rate; }
    void forget_counts()
    {
        for (played_team& one : teams_) {
            one.arrived = 0;
            one.served = 0;
        }
        used_ = 0;
        turns_ = 0;
    }

    [[nodiscard]] const std::vector<played_team>& teams() const { return teams_; }
    [[nodiscard]] double mean_used() const { return used_ / turns_; }

private:
    void arrive(rule played, played_team& one)
    {
        ++one.arrived;
        if (played == rule::shares &&
            shares_.decide(one.name, {one.priority, 0}, limit_.room_for(1), now_) !=
                team_shares::verdict::admitted) {
            return;
        }
        if (auto place = limit_.take(1)) {
            ++one.served;
            open_.emplace(now_ + base::duration(random_.between(200, 400)),
                          std::move(place));
        }
    }

    std::vector<played_team> teams_;
    base::random_source random_{11};
    base::instant now_{1'000'000};
    open_request_limit limit_{{.max_requests = 100, .max_sends = 10'000}};
    team_shares shares_;
    std::multimap<base::instant, std::shared_ptr<open_request_limit::place>> open_;
    double used_ = 0;
    double turns_ = 0;
};

std::vector<played_team> equal_teams(std::size_t count, double rate)
{
    std::vector<played_team> teams;
    for (std::size_t i = 0; i < count; ++i) {
        teams.push_back({"team-" + std::to_string(i), rate});
    }
    return teams;
}

struct hot_result
{
    // The hot team, the worst of the others, and the others' mean.
    double hot = 0;
    double worst = 1;
    double others = 0;
    double all = 0;
    double used = 0;
};

// A room that 87 teams fill to nine tenths, until the first of them, which is the largest
// by far, sends `times` its usual.
hot_result play_hot_team(room_replay::rule played, double times)
{
    constexpr double rate = 3.0;
    constexpr double large_rate = 30.0;
    std::vector<played_team> teams = equal_teams(87, rate);
    teams[0].rate = large_rate;
    room_replay replay(std::move(teams));
    replay.run(played, 20_s);
    replay.set_rate(0, large_rate * times);
    replay.run(played, 5_s);
    replay.forget_counts();
    replay.run(played, 60_s);
    hot_result result;
    result.hot = replay.teams()[0].service();
    for (std::size_t i = 1; i < replay.teams().size(); ++i) {
        const double one = replay.teams()[i].service();
        result.worst = std::min(result.worst, one);
        result.others += one / static_cast<double>(replay.teams().size() - 1);
    }
    result.all = service_of_all(replay.teams());
    result.used = replay.mean_used();
    return result;
}

// Guards against a team without a limit whose load costs every other team its service.
TEST(team_shares_test, a_hot_team_pays_for_its_own_load)
{
    constexpr double times = 7.5;
    const hot_result usual = play_hot_team(room_replay::rule::room_only, 1.0);
    const hot_result without = play_hot_team(room_replay::rule::room_only, times);
    const hot_result with = play_hot_team(room_replay::rule::shares, times);
    for (const hot_result& one : {usual, without, with}) {
        std::cout << "hot " << one.hot << ", others " << one.others << ", worst of them "
                  << one.worst << ", all " << one.all << ", room used " << one.used
                  << "\n";
    }
    // Nine tenths of what the hot team's load costs the others is theirs again.
    EXPECT_LT(usual.others - with.others, 0.1 * (usual.others - without.others));
    EXPECT_GT(with.worst, with.hot);
    // The rule on starved teams also holds for the one that sends too much.
    EXPECT_GT(with.hot, 0.25 * with.all);
    EXPECT_GT(with.used, team_shares::free_part);
}

// Guards against a decision that takes room from the teams although all of them fit.
TEST(team_shares_test, teams_that_fit_are_never_refused)
{
    room_replay replay(equal_teams(87, 2.2));
    replay.run(room_replay::rule::shares, 60_s);
    EXPECT_EQ(service_of_all(replay.teams()), 1.0);
}

// Guards against routine requests that take the room which urgent ones need, and against
// urgent ones that leave nothing.
TEST(team_shares_test, urgent_requests_come_first_and_starve_nobody)
{
    for (const double urgent_rate : {3.0, 30.0}) {
        std::map<room_replay::rule, std::pair<double, double>> service;
        for (const auto rule :
             {room_replay::rule::room_only, room_replay::rule::shares}) {
            std::vector<played_team> teams = equal_teams(40, 12.0);
            for (std::size_t i = 0; i < 20; ++i) {
                teams[i].rate = urgent_rate;
            }
            for (std::size_t i = 20; i < teams.size(); ++i) {
                teams[i].priority = 2;
            }
            room_replay replay(std::move(teams));
            replay.run(rule, 60_s);
            std::vector<played_team> routine(replay.teams().begin() + 20,
                                             replay.teams().end());
            const std::vector<played_team> urgent(replay.teams().begin(),
                                                  replay.teams().begin() + 20);
            service[rule] = {service_of_all(urgent), service_of_all(routine)};
            std::cout << "urgent " << service_of_all(urgent) << ", routine "
                      << service_of_all(routine) << "\n";
            if (rule == room_replay::rule::shares) {
                for (const played_team& one : replay.teams()) {
                    EXPECT_GT(one.service(), 0.25 * service_of_all(replay.teams()))
                        << one.name;
                }
            }
        }
        const auto& with = service[room_replay::rule::shares];
        EXPECT_GT(with.first, service[room_replay::rule::room_only].first);
        EXPECT_GT(with.first, with.second);
    }
}

// Guards against a team that stays hot, or a priority that stays, after it has ended.
TEST(team_shares_test, what_has_ended_does_not_count)
{
    team_shares shares;
    const base::instant begin(1'000'000);
    for (int i = 0; i < 100; ++i) {
        shares.decide("hot", {0, 0}, {0.1, 0.01, true}, begin + 10_ms * i);
    }
    shares.decide("other", {1, 0}, {0.1, 0.01, true}, begin + 1_s);
    EXPECT_TRUE(shares.is_above_share("hot", begin + 1_s));
    EXPECT_FALSE(shares.is_above_share("other", begin + 1_s));
    EXPECT_FALSE(shares.is_above_share("unknown", begin + 1_s));
    const base::instant later = begin + 60_s;
    EXPECT_EQ(shares.decide("other", {1, 0}, {0.9, 0.01, true}, later),
              team_shares::verdict::admitted);
    EXPECT_FALSE(shares.is_above_share("hot", later));
}

// Guards against a deployment without teams whose requests are refused by shares.
TEST(team_shares_test, requests_without_a_team_have_only_the_room_as_their_limit)
{
    std::vector<played_team> crowd{{"", 600.0}};
    room_replay with(crowd);
    with.run(room_replay::rule::shares, 20_s);
    room_replay without(std::move(crowd));
    without.run(room_replay::rule::room_only, 20_s);
    EXPECT_EQ(with.teams()[0].arrived, without.teams()[0].arrived);
    EXPECT_EQ(with.teams()[0].served, without.teams()[0].served);
}

// Guards against a credit that is spent on requests that find no room.
TEST(team_shares_test, a_request_without_room_is_refused_as_such)
{
    team_shares shares;
    const base::instant now(1'000'000);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(shares.decide("a", {0, 0}, {1.0, 0.01, false}, now),
                  team_shares::verdict::no_room);
    }
    EXPECT_EQ(shares.decide("a", {0, 0}, {0.5, 0.01, true}, now),
              team_shares::verdict::admitted);
}

} // namespace
} // namespace curranthoist::forwarding
