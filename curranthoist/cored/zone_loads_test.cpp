#include "curranthoist/cored/zone_loads.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::cored {
namespace {

using base::duration;
using base::instant;

constexpr double service_ms = 28;
constexpr duration cost{40};
constexpr duration step{200};
constexpr double step_s = 0.2;

// The load of one zone in a replay: the parts that its callers ask for in a second, and
// what its targets can do in a second.
struct zone_load
{
    double arrivals_per_s = 0;
    double capacity_per_s = 0;
    double work_ms = service_ms;
    bool reachable = true;
};

// Replays load on three zones: a zone's targets have a queue, and its front processes
// give away the share that the decision names.
class zone_replay
{
public:
    std::map<base::zone_id, zone_load> zones{
        {base::zone_id("a"), {500, 1000}},
        {base::zone_id("b"), {500, 1000}},
        {base::zone_id("c"), {500, 1000}},
    };

    // Called after each step.
    std::function<void()> after_step = [] {};

    void run(duration time)
    {
        for (const instant end = now_ + time; now_ < end;) {
            advance();
            after_step();
        }
    }
    [[nodiscard]] double share(const std::string& zone) const
    {
        const auto share = loads.share_of(base::zone_id(zone));
        return share ? share->share : 0.0;
    }
    [[nodiscard]] std::string receiver(const std::string& zone) const
    {
        const auto share = loads.share_of(base::zone_id(zone));
        return share ? share->to.str() : "";
    }
    [[nodiscard]] double wait(const std::string& zone) const
    {
        return waits_.at(base::zone_id(zone));
    }
    [[nodiscard]] zone_load& zone(const std::string& name)
    {
        return zones.at(base::zone_id(name));
    }
    [[nodiscard]] duration elapsed() const { return now_ - begin; }

    // What the fronts report.
    duration zone_cost = cost;
    zone_loads loads;
    std::vector<zone_loads::change> changes;

private:
    static constexpr instant begin{100'000};

    void advance()
    {
        now_ = now_ + step;
        std::map<base::zone_id, double> offered;
        for (const auto& [name, zone] : zones) {
            const auto given = loads.share_of(name);
            const double away = given ? zone.arrivals_per_s * given->share : 0.0;
            offered[name] += zone.arrivals_per_s - away;
            if (given) {
                offered[given->to] += away;
            }
        }
        for (auto& [name, zone] : zones) {
            // A queue for what is beyond the capacity, and the usual rise before it.
            constexpr double max_queue = 400;
            constexpr double max_use = 0.95;
            const double use = std::min(offered[name] / zone.capacity_per_s, max_use);
            const double beyond = (offered[name] - zone.capacity_per_s) * step_s;
            queues_[name] = std::clamp(queues_[name] + beyond, 0.0, max_queue);
            const double queued_ms = 1000 * queues_[name] / zone.capacity_per_s;
            waits_[name] = (zone.work_ms / (1 - (use * use))) + queued_ms;
            const double served =
                zone.reachable ? std::min(offered[name], zone.capacity_per_s) * step_s
                               : 0.0;
            successes_[name] += served;
            time_ms_[name] += served * waits_[name];
        }
        for (const auto& [name, zone] : zones) {
            std::vector<deployment::zone_answers> seen{
                {name, static_cast<std::uint64_t>(successes_[name]),
                 static_cast<std::uint64_t>(time_ms_[name])}};
            loads.add("vm-" + name.str(), name, zone_cost, seen, now_);
        }
        for (const zone_loads::change& one : loads.update(now_)) {
            changes.push_back(one);
        }
    }

    instant now_ = begin;
    std::map<base::zone_id, double> queues_;
    std::map<base::zone_id, double> waits_;
    std::map<base::zone_id, double> successes_;
    std::map<base::zone_id, double> time_ms_;
};

// Guards against traffic between zones that no caller gains from.
TEST(zone_loads_test, nothing_leaves_on_an_even_day)
{
    zone_replay replay;
    replay.after_step = [&replay] {
        // Waves of callers, one zone after another.
        const double seconds = replay.elapsed().seconds();
        double phase = 0;
        for (auto& [name, zone] : replay.zones) {
            zone.arrivals_per_s = 500 + (250 * std::sin((seconds / 17 + phase) * 6.28));
            phase += 0.1;
        }
        EXPECT_EQ(replay.share("a") + replay.share("b") + replay.share("c"), 0.0);
    };
    replay.run(duration(120'000));
    EXPECT_TRUE(replay.changes.empty());
}

// Guards against a zone that stays slow beside zones with room, against a step that
// floods the receiving zone, and against load that does not come back.
TEST(zone_loads_test,
     a_zone_with_half_of_its_targets_slow_gives_load_away_until_they_recover)
{
    zone_replay replay;
    replay.run(duration(20'000));
    replay.zone("a").capacity_per_s = 400;
    replay.zone("a").work_ms = service_ms * 4;
    double last = 0;
    double longest_other_wait = 0;
    replay.after_step = [&] {
        EXPECT_LE(replay.share("a") - last, zone_loads::max_rise_per_s * step_s + 1e-9);
        last = replay.share("a");
        longest_other_wait =
            std::max({longest_other_wait, replay.wait("b"), replay.wait("c")});
    };
    replay.run(duration(20'000));
    EXPECT_GT(replay.share("a"), 0.3);
    EXPECT_LT(longest_other_wait, service_ms * 2 + static_cast<double>(cost.count()));
    replay.zone("a") = {500, 1000};
    replay.run(duration(20'000));
    EXPECT_EQ(replay.share("a"), 0.0);
    ASSERT_GE(replay.changes.size(), 2U);
    EXPECT_GT(replay.changes.front().wait_ms,
              replay.changes.front().other_wait_ms + replay.changes.front().cost_ms);
    EXPECT_EQ(replay.changes.back().share.share, 0.0);
}

// Guards against a zone that is too small for its callers while others idle, and against
// a share that swings.
TEST(zone_loads_test, a_zone_with_most_callers_settles_on_a_share)
{
    zone_replay replay;
    replay.zone("a").arrivals_per_s = 1300;
    replay.zone("b").arrivals_per_s = 100;
    replay.zone("c").arrivals_per_s = 100;
    replay.run(duration(40'000));
    double least = 1;
    double most = 0;
    replay.after_step = [&] {
        least = std::min(least, replay.share("a"));
        most = std::max(most, replay.share("a"));
        EXPECT_EQ(replay.share("b") + replay.share("c"), 0.0);
    };
    replay.run(duration(60'000));
    EXPECT_GT(least, 0.2);
    EXPECT_LT(most - least, 0.15);
    EXPECT_LT(replay.wait("a"), 250);
    EXPECT_LT(replay.wait(replay.receiver("a")),
              service_ms + static_cast<double>(cost.count()));
}

// Guards against queries that leave the zones of a deployment that named no cost of
// leaving, where any difference of the waits would exceed it.
TEST(zone_loads_test, nothing_leaves_without_a_cost)
{
    zone_replay replay;
    replay.zone_cost = duration(0);
    replay.zone("a").arrivals_per_s = 1300;
    replay.run(duration(20'000));
    EXPECT_EQ(replay.share("a"), 0.0);
    EXPECT_TRUE(replay.changes.empty());
}

// Guards against load for a zone whose targets answer nobody.
TEST(zone_loads_test, a_zone_that_is_cut_off_receives_nothing)
{
    zone_replay replay;
    replay.run(duration(10'000));
    replay.zone("b").reachable = false;
    replay.zone("a").arrivals_per_s = 1300;
    replay.run(duration(4'000));
    replay.after_step = [&replay] { EXPECT_NE(replay.receiver("a"), "b"); };
    replay.run(duration(30'000));
    EXPECT_EQ(replay.receiver("a"), "c");
}

// Guards against two zones that exchange load, which only costs both of them.
TEST(zone_loads_test, zones_near_their_limits_do_not_exchange_load)
{
    zone_replay replay;
    for (auto& [name, zone] : replay.zones) {
        zone.arrivals_per_s = 960;
    }
    replay.after_step = [&replay] {
        const double seconds = replay.elapsed().seconds();
        replay.zone("a").arrivals_per_s = 960 + (80 * std::sin(seconds));
        replay.zone("b").arrivals_per_s = 960 - (80 * std::sin(seconds));
        const auto a = replay.loads.share_of(base::zone_id("a"));
        const auto b = replay.loads.share_of(base::zone_id("b"));
        const auto c = replay.loads.share_of(base::zone_id("c"));
        for (const auto& given : {a, b, c}) {
            if (given) {
                EXPECT_EQ(replay.share(given->to.str()), 0.0);
            }
        }
    };
    replay.run(duration(120'000));
}

// Guards against a zone that gives load to one which it makes slow itself.
TEST(zone_loads_test, a_share_falls_when_the_receiving_zone_becomes_slow)
{
    zone_replay replay;
    replay.zone("a").arrivals_per_s = 1300;
    replay.zone("c").reachable = false;
    replay.run(duration(30'000));
    const double before = replay.share("a");
    EXPECT_GT(before, 0.2);
    replay.zone("b").arrivals_per_s = 1000;
    replay.run(duration(6'000));
    EXPECT_LT(replay.share("a"), before / 2);
}

// Guards against load that rushes to a zone because it has just come back and looks free.
TEST(zone_loads_test, a_restored_cold_zone_gets_no_load_of_others)
{
    zone_replay replay;
    replay.zone("a").reachable = false;
    replay.run(duration(20'000));
    replay.zone("a") = {500, 1000, service_ms * 1.6};
    replay.after_step = [&replay] {
        EXPECT_EQ(replay.share("a") + replay.share("b") + replay.share("c"), 0.0);
    };
    replay.run(duration(3'000));
    replay.zone("a").work_ms = service_ms;
    replay.run(duration(20'000));
}

// Guards against counts that are taken twice, or that a new leader takes for new ones.
TEST(zone_loads_test, repeated_and_first_reports_count_nothing)
{
    zone_loads loads;
    const base::zone_id zone("a");
    const std::vector<deployment::zone_answers> slow{{zone, 1'000, 1'000'000}};
    const std::vector<deployment::zone_answers> fast{{base::zone_id("b"), 0, 0}};
    instant now(1'000);
    for (int i = 0; i < 50; ++i) {
        now = now + step;
        loads.add("vm-1", zone, cost, slow, now);
        loads.add("vm-2", zone, cost, fast, now);
        EXPECT_TRUE(loads.update(now).empty());
    }
    EXPECT_EQ(loads.share_of(zone), std::nullopt);
}

} // namespace
} // namespace curranthoist::cored
