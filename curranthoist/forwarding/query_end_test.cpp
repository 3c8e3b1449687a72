#include "curranthoist/forwarding/extra_send_budget.hpp"
#include "curranthoist/forwarding/part_latencies.hpp"
#include "curranthoist/forwarding/query_end.hpp"
#include "curranthoist/forwarding/request_attempts.hpp"
#include "curranthoist/forwarding/send_margin.hpp"
#include "curranthoist/forwarding/target_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace curranthoist::forwarding {
namespace {

using base::duration;
using base::instant;

// Guards against a query that gives up a part that is likely to come, and against one
// that waits for one that is not while it becomes late.
TEST(query_end_test, a_query_waits_for_what_is_worth_it)
{
    constexpr double late = 0.02;
    const query_end decision(19, 0);
    EXPECT_TRUE(decision.is_worth(0.5, late));
    EXPECT_FALSE(decision.is_worth(0.05, late));
    EXPECT_TRUE(decision.is_worth(0.05 * 4, late));
    EXPECT_TRUE(query_end(0, 0).is_worth(0.05, late));
}

// Guards against a process that answers in time and still gives up parts that may come.
TEST(query_end_test, a_query_that_is_not_late_waits_for_small_gains)
{
    const query_end calm(19, 0);
    EXPECT_TRUE(calm.is_worth(0.05, 0));
    EXPECT_FALSE(calm.is_worth(0.001, 0));
    // It is late already as often as it will be.
    EXPECT_TRUE(query_end(19, 0.5).is_worth(0.05, 0.5));
}

struct replay_figures
{
    int queries = 0;
    int in_objective = 0;
    // The sum of the squares of the shares, a tenth for late answers.
    double credit = 0;
    duration median;
};

// Replays queries with an objective of 80 ms. Most parts take 10 to 40 ms; some targets
// are paused for long. A busy process reaches an answer late: by up to 20 ms, 4 ms on
// average. A calm one does not, and its paused targets come back within the objective.
class query_replay
{
public:
    // With `decides`, queries end by the distribution, and the margin is measured.
    query_replay(std::size_t shards, double min_share, bool decides, bool calm = false)
        : decides_(decides)
        , calm_(calm)
    {
        route_.objective = objective;
        route_.min_share = min_share;
        route_.max_attempts = 2;
        route_.repeat = deployment::repeat_rule::repeatable;
        std::vector<deployment::listed_target> targets;
        for (std::size_t i = 0; i < shards; ++i) {
            const std::string name = "s" + std::to_string(i);
            route_.shards.emplace_back(name);
            for (const char* const copy : {"-a", "-b"}) {
                targets.push_back({base::target_id(name + copy),
                                   base::service_id(name),
                                   base::zone_id("z"),
                                   {"10.0.0.1", 80},
                                   false,
                                   {}});
            }
        }
        directory_.apply({.targets = targets, .read_at = now_});
    }

    replay_figures run()
    {
        constexpr int count = 2000;
        // The first queries only fill the history.
        constexpr int warm_up = 200;
        for (int i = 0; i < count + warm_up; ++i) {
            run_query(i >= warm_up);
        }
        std::nth_element(times_.begin(), times_.begin() + count / 2, times_.end());
        figures_.median = times_[count / 2];
        return figures_;
    }

private:
    struct open_call
    {
        instant sent;
        instant comes;
    };

    static constexpr duration objective{80};
    static constexpr duration way{11};

    duration draw_part()
    {
        constexpr double paused_share = 0.03;
        if (calm_ && unit_(random_) < paused_share) {
            return duration(40 + static_cast<std::int64_t>(80 * unit_(random_)));
        }
        if (unit_(random_) < paused_share) {
            return duration(150 + static_cast<std::int64_t>(250 * unit_(random_)));
        }
        return duration(10 +
                        static_cast<std::int64_t>(30 * unit_(random_) * unit_(random_)));
    }
    duration draw_delay()
    {
        if (calm_) {
            return duration(0);
        }
        constexpr double mean = 4;
        return duration(static_cast<std::int64_t>(
            std::min(20.0, -mean * std::log(1 - unit_(random_)))));
    }

    void run_query(bool counts)
    {
        const instant began = now_;
        const duration margin =
            decides_ ? margin_.margin(objective) : send_margin::min_margin;
        request_attempts query(route_, route_.shards,
                               {began, began + objective - margin, began + duration(800),
                                duration(32), duration(40), duration(0)},
                               directory_, budget_, {},
                               decides_ ? query_history{&parts_, &margin_}
                                        : query_history{});
        std::map<call_id, open_call> open;
        const finish_action* finished = nullptr;
        std::vector<request_action> actions = query.start(now_);
        const auto perform = [&] {
            for (const request_action& action : actions) {
                if (const auto* send = std::get_if<send_action>(&action)) {
                    open[send->call] = {now_, now_ + draw_part()};
                }
                else if (const auto* cancel = std::get_if<cancel_action>(&action)) {
                    parts_.add_unfinished(now_ - open.at(cancel->call).sent);
                    open.erase(cancel->call);
                }
                else if (const auto* finish = std::get_if<finish_action>(&action)) {
                    finished = finish;
                }
            }
        };
        perform();
        while (finished == nullptr) {
            now_ = now_ + duration(1);
            std::vector<call_id> due;
            for (const auto& [call, one] : open) {
                if (one.comes <= now_) {
                    due.push_back(call);
                }
            }
            for (const call_id call : due) {
                const auto found = open.find(call);
                if (finished != nullptr || found == open.end()) {
                    continue;
                }
                parts_.add(now_ - found->second.sent);
                open.erase(found);
                actions = query.on_answer(call, response_kind::success, now_);
                perform();
            }
            if (finished == nullptr && query.next_deadline() <= now_) {
                actions = query.on_time(now_);
                perform();
            }
        }
        const duration delay = draw_delay();
        margin_.add(delay);
        if (counts) {
            record(*finished, now_ - began + delay + way);
        }
        now_ = now_ + duration(10);
    }

    void record(const finish_action& finished, duration took)
    {
        ++figures_.queries;
        times_.push_back(took);
        if (finished.answers.empty()) {
            return;
        }
        const double share = static_cast<double>(finished.answers.size()) /
                             static_cast<double>(route_.shards.size());
        const bool in_time = took <= objective;
        figures_.in_objective += in_time ? 1 : 0;
        figures_.credit += share * share * (in_time ? 1 : 0.1);
    }

    bool decides_;
    bool calm_;
    instant now_{1'000'000};
    std::mt19937 random_{7};
    std::uniform_real_distribution<double> unit_{0, 1};
    deployment::route route_;
    target_directory directory_{{base::zone_id("z"), "vm-1", duration(800)}};
    extra_send_budget budget_{{0.02, 5.0, duration(10'000)}};
    part_latencies parts_;
    send_margin margin_;
    replay_figures figures_;
    std::vector<duration> times_;
};

replay_figures replay(const char* name, std::size_t shards, double min_share,
                      bool decides, bool calm = false)
{
    const replay_figures figures = query_replay(shards, min_share, decides, calm).run();
    std::cout << name << (decides ? " with" : " without") << ": queries "
              << figures.queries << ", in objective " << figures.in_objective
              << ", credit " << figures.credit << ", p50 " << figures.median.count()
              << " ms\n";
    return figures;
}

// Guards against queries that wait for paused targets until they miss their objective.
TEST(query_end_test, more_queries_meet_their_objective)
{
    const replay_figures few_before = replay("20 shards", 20, 0.8, false);
    const replay_figures few_after = replay("20 shards", 20, 0.8, true);
    const replay_figures many_before = replay("60 shards", 60, 0.9, false);
    const replay_figures many_after = replay("60 shards", 60, 0.9, true);
    EXPECT_GT(few_after.in_objective, few_before.in_objective);
    EXPECT_GT(few_after.credit, few_before.credit);
    EXPECT_GT(many_after.in_objective, many_before.in_objective);
    EXPECT_GT(many_after.credit, many_before.credit);
}

// Guards against queries of a process that is not busy which give up parts that would
// have come before the answer had to leave.
TEST(query_end_test, a_calm_process_loses_next_to_nothing)
{
    const replay_figures before = replay("calm, 20 shards", 20, 0.8, false, true);
    const replay_figures after = replay("calm, 20 shards", 20, 0.8, true, true);
    // An answer that ends early may give up a thousandth of what was gathered.
    constexpr double max_loss = 0.001;
    EXPECT_GE(after.in_objective, before.in_objective);
    EXPECT_GE(after.credit, before.credit * (1 - max_loss));
}

} // namespace
} // namespace curranthoist::forwarding
