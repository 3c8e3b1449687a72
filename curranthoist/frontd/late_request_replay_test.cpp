#include "curranthoist/forwarding/extra_send_budget.hpp"
#include "curranthoist/forwarding/request_attempts.hpp"
#include "curranthoist/forwarding/target_directory.hpp"
#include "curranthoist/frontd/route_latency.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::frontd {
namespace {

using base::duration;
using base::instant;
using deployment::repeat_rule;
using forwarding::call_id;
using forwarding::cancel_action;
using forwarding::final_outcome;
using forwarding::finish_action;
using forwarding::recall_action;
using forwarding::request_action;
using forwarding::request_attempts;
using forwarding::request_timing;
using forwarding::response_kind;
using forwarding::send_action;

// How the callers of one kind fared.
struct replay_figures
{
    int callers = 0;
    int served = 0;
    int served_in_objective = 0;
    // Answers that promise nothing, though no target had received the request.
    int unsent_failures = 0;
};

// Replays callers that arrive at three times the rate that the targets of one service can
// serve, for two seconds. A target serves two calls at a time; others wait for a
// connection. Half of the callers send what may run once: they come back after a refusal
// only, the others after any failure. All come back once, and have a new deadline then.
class overload_replay
{
public:
    // With `settles`, requests that were not sent are refused, at once if it is too late.
    explicit overload_replay(bool settles)
        : settles_(settles)
    {
        std::vector<deployment::listed_target> targets;
        for (std::size_t i = 0; i < target_count; ++i) {
            targets.push_back({base::target_id(std::to_string(i)),
                               base::service_id("s"),
                               base::zone_id("z"),
                               {"10.0.0.1", 80},
                               false,
                               {}});
        }
        directory_.apply({.targets = targets, .read_at = now_});
        once_.repeat = repeat_rule::at_most_once;
        safe_.repeat = repeat_rule::repeatable;
        once_.max_attempts = safe_.max_attempts = 2;
    }

    void run()
    {
        constexpr int overload_ms = 2000;
        constexpr int total_ms = 5000;
        constexpr int callers_per_5_ms = 3;
        for (int ms = 0; ms < total_ms; ++ms) {
            if (ms < overload_ms && ms % 5 == 0) {
                for (int i = 0; i < callers_per_5_ms; ++i) {
                    const bool once = ++arrivals_ % 2 == 0;
                    ++figures[once].callers;
                    begin(once, true);
                }
            }
            for (auto due = returns_.begin();
                 due != returns_.end() && due->first <= now_;) {
                begin(due->second, false);
                due = returns_.erase(due);
            }
            serve();
            // By index, because no caller begins here, but callers end.
            for (std::size_t i = 0; i < callers_.size(); ++i) {
                caller& one = *callers_[i];
                if (!one.run->finished() && one.run->next_deadline() <= now_) {
                    perform(one, one.run->on_time(now_));
                }
            }
            std::erase_if(callers_, [](const auto& one) {
                return one->run->finished() && one->open == 0;
            });
            now_ = now_ + duration(1);
        }
    }

    std::map<bool, replay_figures> figures;

private:
    struct caller
    {
        bool once = false;
        bool may_return = false;
        bool was_sent = false;
        instant arrived;
        // Calls that a target still has.
        int open = 0;
        std::unique_ptr<request_attempts> run;
    };
    struct waiting_call
    {
        caller* from = nullptr;
        call_id call = 0;
        instant started;
    };
    struct served_call
    {
        waiting_call call;
        instant ends;
    };
    struct target
    {
        std::deque<waiting_call> waiting;
        std::vector<served_call> served;
    };

    static constexpr std::size_t target_count = 4;
    static constexpr std::size_t connections = 2;
    static constexpr duration objective{200};
    static constexpr duration time_limit{400};
    static constexpr duration service_time{40};
    static constexpr duration pause{130};

    void begin(bool once, bool may_return)
    {
        callers_.push_back(std::make_unique<caller>());
        caller& one = *callers_.back();
        one.once = once;
        one.may_return = may_return;
        one.arrived = now_;
        request_timing timing{now_,          now_ + objective, now_ + time_limit,
                              duration(100), duration(100),    duration(0)};
        if (settles_) {
            timing.min_answer_time = latency_.min_answer_time(objective);
        }
        one.run = std::make_unique<request_attempts>(once ? once_ : safe_,
                                                     std::vector{base::service_id("s")},
                                                     timing, directory_, budget_);
        perform(one, one.run->start(now_));
    }

    void perform(caller& one, const std::vector<request_action>& actions)
    {
        for (const request_action& action : actions) {
            if (const auto* send = std::get_if<send_action>(&action)) {
                directory_.on_sent(send->target, service_time, now_);
                targets_[send->target].waiting.push_back({&one, send->call, now_});
                ++one.open;
            }
            else if (const auto* cancel = std::get_if<cancel_action>(&action)) {
                if (take_back(one, cancel->call)) {
                    one.run->on_cancelled_unsent(cancel->call);
                }
            }
            else if (const auto* recall = std::get_if<recall_action>(&action)) {
                if (take_back(one, recall->call)) {
                    perform(one, one.run->on_answer(recall->call,
                                                    response_kind::withdrawn, now_));
                }
            }
            else if (const auto* finish = std::get_if<finish_action>(&action)) {
                end(one, finish->outcome);
            }
        }
    }

    bool take_back(caller& one, call_id call)
    {
        for (auto& [id, at] : targets_) {
            const auto removed =
                std::erase_if(at.waiting, [&](const waiting_call& waiting) {
                    return waiting.from == &one && waiting.call == call;
                });
            if (removed > 0) {
                directory_.on_answer(id, response_kind::cancelled, duration(),
                                     service_time, now_);
                --one.open;
                return true;
            }
        }
        return false;
    }

    void end(caller& one, final_outcome outcome)
    {
        if (settles_) {
            outcome = one.run->settled_outcome(outcome);
        }
        replay_figures& kind = figures[one.once];
        if (outcome == final_outcome::complete) {
            ++kind.served;
            kind.served_in_objective += now_ - one.arrived <= objective ? 1 : 0;
            return;
        }
        const bool refused = outcome == final_outcome::refused;
        kind.unsent_failures += !refused && !one.was_sent ? 1 : 0;
        if (one.may_return && (refused || !one.once)) {
            returns_.emplace(now_ + pause, one.once);
        }
    }

    void serve()
    {
        for (auto& [id, at] : targets_) {
            for (std::size_t i = 0; i < at.served.size();) {
                if (at.served[i].ends > now_) {
                    ++i;
                    continue;
                }
                const waiting_call done = at.served[i].call;
                at.served.erase(at.served.begin() + static_cast<std::ptrdiff_t>(i));
                if (!done.from->run->finished()) {
                    latency_.add(now_ - done.started);
                }
                directory_.on_answer(id, response_kind::success, now_ - done.started,
                                     service_time, now_);
                --done.from->open;
                perform(*done.from, done.from->run->on_answer(
                                        done.call, response_kind::success, now_));
            }
            while (at.served.size() < connections && !at.waiting.empty()) {
                const waiting_call next = at.waiting.front();
                at.waiting.pop_front();
                next.from->was_sent = true;
                at.served.push_back({next, now_ + service_time});
            }
        }
    }

    bool settles_;
    route_latency latency_;
    instant now_{1'000'000};
    int arrivals_ = 0;
    deployment::route once_;
    deployment::route safe_;
    forwarding::target_directory directory_{{base::zone_id("z"), "vm-1", duration(800)}};
    forwarding::extra_send_budget budget_{{0.2, 100.0, duration(10'000)}};
    std::map<base::target_id, target> targets_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::multimap<instant, bool> returns_;
};

replay_figures print_figures(const char* name, const replay_figures& figures)
{
    std::cout << name << ": callers " << figures.callers << ", served " << figures.served
              << ", in objective " << figures.served_in_objective << ", failed unsent "
              << figures.unsent_failures << '\n';
    return figures;
}

// Guards against callers that can't come back, because they got a 504 for what no target
// had received.
TEST(late_request_replay_test, callers_come_back_after_requests_that_were_not_sent)
{
    overload_replay without(false);
    without.run();
    overload_replay with(true);
    with.run();
    const replay_figures once_before =
        print_figures("once, without", without.figures[true]);
    const replay_figures safe_before =
        print_figures("safe, without", without.figures[false]);
    const replay_figures once_after = print_figures("once, with", with.figures[true]);
    const replay_figures safe_after = print_figures("safe, with", with.figures[false]);
    EXPECT_GT(once_before.unsent_failures, 0);
    EXPECT_EQ(once_after.unsent_failures, 0);
    EXPECT_EQ(safe_after.unsent_failures, 0);
    EXPECT_GT(once_after.served, once_before.served);
    EXPECT_GE(once_after.served + safe_after.served,
              once_before.served + safe_before.served);
}

} // namespace
} // namespace curranthoist::frontd
