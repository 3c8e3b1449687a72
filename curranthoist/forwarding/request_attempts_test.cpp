#include "curranthoist/forwarding/extra_send_budget.hpp"
#include "curranthoist/forwarding/part_latencies.hpp"
#include "curranthoist/forwarding/request_attempts.hpp"
#include "curranthoist/forwarding/send_margin.hpp"
#include "curranthoist/forwarding/target_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>

namespace curranthoist::forwarding {
namespace {

using base::duration;
using base::instant;
using deployment::repeat_rule;

// Drives one request over `shards` services with two targets each.
class request_attempts_test : public ::testing::Test
{
protected:
    void begin(std::size_t shards, repeat_rule repeat, double min_share = 0.89,
               std::vector<gather_group> groups = {})
    {
        route_.repeat = repeat;
        route_.max_attempts = 2;
        route_.min_share = min_share;
        std::vector<base::service_id> services;
        std::vector<deployment::listed_target> targets;
        for (std::size_t i = 0; i < shards; ++i) {
            const std::string name = "s" + std::to_string(i);
            services.emplace_back(name);
            for (const char* const copy : {"-a", "-b"}) {
                targets.push_back({base::target_id(name + copy),
                                   base::service_id(name),
                                   base::zone_id("z"),
                                   {"10.0.0.1", 80},
                                   false,
                                   {}});
            }
        }
        if (shards > 1) {
            route_.shards = services;
        }
        directory_.apply({.targets = targets, .read_at = now_});
        attempts_.emplace(route_, services,
                          request_timing{now_, now_ + duration(100), now_ + duration(800),
                                         duration(30), duration(60), min_answer_time_},
                          directory_, budget_, std::move(groups),
                          query_history{latencies_, &margin_});
        record(attempts_->start(now_));
    }
    void record(const std::vector<request_action>& actions)
    {
        for (const request_action& action : actions) {
            if (const auto* send = std::get_if<send_action>(&action)) {
                sends_.push_back(*send);
            }
            else if (const auto* gather = std::get_if<gather_action>(&action)) {
                gathers_.push_back(*gather);
            }
            else if (const auto* cancel = std::get_if<cancel_action>(&action)) {
                cancelled_.push_back(cancel->call);
            }
            else if (const auto* recall = std::get_if<recall_action>(&action)) {
                recalled_.push_back(recall->call);
            }
            else {
                EXPECT_FALSE(finish_) << "a request ends only once";
                finish_ = std::get<finish_action>(action);
            }
        }
    }
    void respond(call_id call, response_kind kind)
    {
        record(attempts_->on_answer(call, kind, now_));
    }
    void advance(std::int64_t milliseconds)
    {
        now_ = now_ + duration(milliseconds);
        record(attempts_->on_time(now_));
    }

    instant now_{1'000'000};
    duration min_answer_time_{0};
    const part_latencies* latencies_ = nullptr;
    send_margin margin_;
    deployment::route route_;
    target_directory directory_{{base::zone_id("z"), "vm-1", duration(800)}};
    extra_send_budget budget_{{0.2, 100.0, duration(10'000)}};
    std::optional<request_attempts> attempts_;
    std::vector<send_action> sends_;
    std::vector<gather_action> gathers_;
    std::vector<call_id> cancelled_;
    std::vector<call_id> recalled_;
    std::optional<finish_action> finish_;
};

// A request that may run only once must not run twice: its send ended as unknown, so the
// target may have run it.
TEST_F(request_attempts_test,
       an_at_most_once_request_is_not_sent_again_when_it_may_have_run)
{
    begin(1, repeat_rule::at_most_once);
    respond(1, response_kind::unknown);
    EXPECT_EQ(sends_.size(), 1U);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::failed);
}

// Guards against a request that uses up its attempts while it waits for targets that
// leave one after the other.
TEST_F(request_attempts_test, a_withdrawn_send_is_no_attempt)
{
    constexpr int withdrawals = 10;
    begin(1, repeat_rule::at_most_once);
    for (int i = 0; i < withdrawals; ++i) {
        ASSERT_EQ(sends_.size(), static_cast<std::size_t>(i) + 1);
        respond(sends_.back().call, response_kind::withdrawn);
    }
    respond(sends_.back().call, response_kind::success);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::complete);
}

// Guards against a request that waits until its deadline although no target can take it.
TEST_F(request_attempts_test, a_withdrawn_request_without_another_target_is_refused)
{
    begin(1, repeat_rule::at_most_once);
    directory_.set_evacuated({base::zone_id("z")}, now_);
    respond(1, response_kind::withdrawn);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::refused);
}

// Guards against a 504, which promises nothing, for a request that waited for a
// connection until its deadline: nothing was sent, so that the caller may come back.
TEST_F(request_attempts_test, a_request_that_was_never_sent_is_refused_at_its_deadline)
{
    begin(1, repeat_rule::at_most_once);
    advance(800);
    ASSERT_TRUE(finish_);
    ASSERT_EQ(cancelled_, std::vector<call_id>{1});
    attempts_->on_cancelled_unsent(1);
    EXPECT_EQ(attempts_->settled_outcome(finish_->outcome), final_outcome::refused);
}

// Guards against a query that ends without the parts that a gatherer is about to report,
// and against one that still waits for them when the report is overdue: by the
// distribution no part comes after 20 ms.
TEST_F(request_attempts_test, a_query_awaits_a_gatherers_report_until_it_is_overdue)
{
    constexpr int samples = 640;
    part_latencies latencies;
    for (int i = 0; i < samples; ++i) {
        latencies.add(duration(10));
        latencies.add_unfinished(duration(100));
    }
    latencies_ = &latencies;
    // Without a second send the gatherer's call is the only one.
    begin(4, repeat_rule::at_most_once, 0.75, {{base::vm_id("g"), {0}}});
    EXPECT_EQ(attempts_->next_end_check(), instant::max());
    for (const send_action& send : std::vector<send_action>(sends_)) {
        respond(send.call, response_kind::success);
    }
    EXPECT_LT(attempts_->next_end_check(), now_ + duration(10));
    advance(59);
    EXPECT_FALSE(finish_);
    advance(1);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::partial);
    EXPECT_TRUE(attempts_->ended_early());
}

// Guards against a caller that waits for its deadline although no target can serve it in
// the time that is left.
TEST_F(request_attempts_test, a_request_that_is_too_late_is_refused_at_once)
{
    min_answer_time_ = duration(801);
    begin(1, repeat_rule::at_most_once, 0.89, {{base::vm_id("g"), {0}}});
    EXPECT_TRUE(sends_.empty());
    EXPECT_TRUE(gathers_.empty());
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::refused);
}

// Guards against a wait for a connection that lasts until the deadline, and against a
// send to another target then.
TEST_F(request_attempts_test, a_waiting_call_is_taken_back_when_it_is_too_late)
{
    min_answer_time_ = duration(100);
    begin(1, repeat_rule::at_most_once);
    advance(699);
    EXPECT_TRUE(recalled_.empty());
    EXPECT_EQ(attempts_->next_deadline(), instant(1'000'700));
    advance(1);
    EXPECT_EQ(recalled_, std::vector<call_id>{1});
    EXPECT_EQ(attempts_->next_deadline(), instant(1'000'800));
    respond(1, response_kind::withdrawn);
    EXPECT_EQ(sends_.size(), 1U);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::refused);
}

// Guards against a call that is taken back by a recall whose answer comes after the end,
// so that its cancellation can't tell any more that it was not sent.
TEST_F(request_attempts_test, a_call_is_not_taken_back_twice_at_the_deadline)
{
    min_answer_time_ = duration(100);
    begin(1, repeat_rule::at_most_once);
    advance(800);
    EXPECT_TRUE(recalled_.empty());
    EXPECT_EQ(cancelled_, std::vector<call_id>{1});
}

// Guards against a call that was sent in time and is ended early.
TEST_F(request_attempts_test, a_call_that_was_sent_goes_on_until_the_deadline)
{
    min_answer_time_ = duration(100);
    begin(1, repeat_rule::repeatable);
    advance(750);
    EXPECT_FALSE(finish_);
    respond(1, response_kind::success);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::complete);
}

// Guards against a false promise: one shard's call was sent, or a gatherer may have sent
// its call.
TEST_F(request_attempts_test, a_request_of_which_one_call_may_have_run_is_not_refused)
{
    begin(3, repeat_rule::at_most_once, 1.0, {{base::vm_id("g"), {0}}});
    respond(sends_[0].call, response_kind::not_run);
    advance(800);
    ASSERT_TRUE(finish_);
    for (const send_action& send : sends_) {
        attempts_->on_cancelled_unsent(send.call);
    }
    EXPECT_EQ(attempts_->settled_outcome(finish_->outcome), final_outcome::timed_out);
    attempts_->on_cancelled_unsent(gathers_.at(0).calls.at(0));
    EXPECT_EQ(attempts_->settled_outcome(finish_->outcome), final_outcome::refused);
}

// A hedge would run a second time a request that may run only once.
TEST_F(request_attempts_test, an_at_most_once_request_is_never_hedged)
{
    begin(1, repeat_rule::at_most_once);
    advance(700);
    EXPECT_EQ(sends_.size(), 1U);
    EXPECT_EQ(attempts_->next_deadline(), instant(1'000'800));
    advance(100);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::timed_out);
}

// Guards against hedges of parts that a busy VM has only just sent: the hedge delay would
// pass before the send.
TEST_F(request_attempts_test, the_time_until_a_hedge_runs_from_the_send)
{
    begin(1, repeat_rule::repeatable);
    now_ = now_ + duration(20);
    attempts_->on_sent(1, now_);
    EXPECT_EQ(attempts_->next_deadline(), now_ + duration(30));
    advance(29);
    EXPECT_EQ(sends_.size(), 1U);
    advance(1);
    EXPECT_EQ(sends_.size(), 2U);
}

// Guards against a busy VM that sends every part of a query twice, because its own delay
// looks like slow targets.
TEST_F(request_attempts_test, a_query_hedges_at_most_a_part_of_its_shards)
{
    begin(20, repeat_rule::repeatable);
    advance(31);
    advance(31);
    EXPECT_EQ(sends_.size(), 26U);
}

// Guards against a request that ends after a refusal although another target could run
// it.
TEST_F(request_attempts_test, a_request_that_certainly_did_not_run_goes_to_another_target)
{
    begin(1, repeat_rule::at_most_once);
    respond(1, response_kind::not_run);
    ASSERT_EQ(sends_.size(), 2U);
    EXPECT_NE(sends_[0].target, sends_[1].target);
    respond(2, response_kind::not_run);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::refused);
}

// Guards against reporting 'not run' for a request whose first send may have run.
TEST_F(request_attempts_test, a_refusal_is_said_only_if_no_send_may_have_run)
{
    begin(1, repeat_rule::repeatable);
    respond(1, response_kind::unknown);
    ASSERT_EQ(sends_.size(), 2U);
    respond(2, response_kind::not_run);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::failed);
}

// Guards against more sends of a request than the attempts that the route allows.
TEST_F(request_attempts_test, sends_stay_within_the_routes_attempts)
{
    begin(1, repeat_rule::repeatable);
    respond(1, response_kind::failure);
    respond(2, response_kind::failure);
    EXPECT_EQ(sends_.size(), 2U);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::target_failure);
    EXPECT_EQ(finish_->answers, std::vector<call_id>{2});
}

// Guards against a query that waits for a target that has paused.
TEST_F(request_attempts_test,
       a_late_part_is_asked_of_another_target_and_the_loser_cancelled)
{
    begin(20, repeat_rule::repeatable);
    ASSERT_EQ(sends_.size(), 20U);
    for (call_id call = 2; call <= 20; ++call) {
        respond(call, response_kind::success);
    }
    EXPECT_EQ(attempts_->next_deadline(), instant(1'000'030));
    advance(30);
    ASSERT_EQ(sends_.size(), 21U);
    EXPECT_EQ(sends_[20].shard, 0U);
    EXPECT_NE(sends_[20].target, sends_[0].target);
    respond(21, response_kind::success);
    EXPECT_EQ(cancelled_, std::vector<call_id>{1});
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::complete);
    EXPECT_EQ(finish_->answers.size(), 20U);
    EXPECT_EQ(finish_->missing, 0U);
}

// Guards against a complete response that is late although most shards responded in time,
// and against a partial response before the soft deadline.
TEST_F(request_attempts_test, a_partial_response_leaves_at_the_soft_limit)
{
    begin(20, repeat_rule::repeatable);
    for (call_id call = 3; call <= 20; ++call) {
        respond(call, response_kind::success);
    }
    EXPECT_FALSE(finish_);
    advance(100);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::partial);
    EXPECT_EQ(finish_->missing, 2U);
}

// Guards against a response with fewer shards than the route requires.
TEST_F(request_attempts_test, too_few_shards_are_never_a_response)
{
    begin(20, repeat_rule::repeatable);
    for (call_id call = 4; call <= 20; ++call) {
        respond(call, response_kind::success);
    }
    advance(100);
    EXPECT_FALSE(finish_);
    advance(700);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::timed_out);
}

// Guards against a query that stays open although it can no longer get enough shards.
TEST_F(request_attempts_test, a_query_without_enough_shards_left_ends_at_once)
{
    begin(20, repeat_rule::repeatable);
    for (call_id call = 1; call <= 3; ++call) {
        respond(call, response_kind::failure);
    }
    const std::vector<send_action> retries(sends_.begin() + 20, sends_.end());
    ASSERT_EQ(retries.size(), 3U);
    for (const send_action& send : retries) {
        respond(send.call, response_kind::failure);
    }
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::failed);
    EXPECT_EQ(cancelled_.size(), 17U);
}

// Guards against rounding that raises the required shards from 19 of 20 to 20.
TEST_F(request_attempts_test, the_minimum_share_counts_whole_shards)
{
    begin(20, repeat_rule::repeatable, 0.95);
    for (call_id call = 2; call <= 20; ++call) {
        respond(call, response_kind::success);
    }
    advance(100);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::partial);
}

// Guards against targets that continue to work for a caller that has disconnected.
TEST_F(request_attempts_test, a_caller_who_leaves_ends_every_open_call)
{
    begin(3, repeat_rule::repeatable);
    respond(1, response_kind::success);
    record(attempts_->abandon());
    EXPECT_EQ(cancelled_, (std::vector<call_id>{2, 3}));
    EXPECT_FALSE(finish_);
    EXPECT_TRUE(attempts_->finished());
}

// Guards against a busy loop while a hedge is due and there is no budget for it.
TEST_F(request_attempts_test, a_hedge_without_budget_is_tried_again_later)
{
    budget_ = extra_send_budget({0.0, 0.0, duration(10'000)});
    begin(1, repeat_rule::repeatable);
    advance(30);
    EXPECT_EQ(sends_.size(), 1U);
    EXPECT_GT(attempts_->next_deadline(), now_);
}

// Guards against parts that are sent twice at once, by a gatherer and by this VM.
TEST_F(request_attempts_test, the_shards_of_a_group_are_sent_by_its_gatherer_alone)
{
    begin(5, repeat_rule::repeatable, 0.89, {{base::vm_id("g"), {1, 3}}});
    ASSERT_EQ(gathers_.size(), 1U);
    EXPECT_EQ(gathers_[0].shards, (std::vector<std::size_t>{1, 3}));
    ASSERT_EQ(sends_.size(), 3U);
    for (const send_action& send : sends_) {
        EXPECT_NE(send.shard, 1U);
        EXPECT_NE(send.shard, 3U);
        respond(send.call, response_kind::success);
    }
    for (const call_id call : gathers_[0].calls) {
        respond(call, response_kind::success);
    }
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::complete);
}

// Guards against a late part that waits for this VM's own hedge delay although the
// gatherer has said that it is late, and against a hedge to the same target.
TEST_F(request_attempts_test, a_part_that_a_gatherer_reports_late_is_hedged_at_once)
{
    begin(4, repeat_rule::repeatable, 0.89, {{base::vm_id("g"), {0, 1, 2, 3}}});
    const std::vector<call_id> calls = gathers_.at(0).calls;
    advance(20);
    attempts_->set_target(calls[2], base::target_id("s2-a"));
    record(attempts_->on_late(calls[2], now_));
    ASSERT_EQ(sends_.size(), 1U);
    EXPECT_EQ(sends_[0].target, base::target_id("s2-b"));
    // Its attempts are used up, so it is not sent a third time.
    respond(sends_[0].call, response_kind::unknown);
    respond(calls[2], response_kind::unknown);
    EXPECT_EQ(sends_.size(), 1U);
}

// Guards against a query that waits for a gatherer which has died, and against more
// attempts than the route allows: the gatherer may have sent each part once.
TEST_F(request_attempts_test, the_shards_of_a_lost_gatherer_are_sent_once_more)
{
    begin(4, repeat_rule::repeatable, 0.89, {{base::vm_id("g"), {0, 1, 2, 3}}});
    const std::vector<call_id> calls = gathers_.at(0).calls;
    for (const call_id call : calls) {
        respond(call, response_kind::unknown);
    }
    ASSERT_EQ(sends_.size(), 4U);
    for (const send_action& send : std::vector<send_action>(sends_)) {
        respond(send.call, response_kind::unknown);
    }
    EXPECT_EQ(sends_.size(), 4U);
    ASSERT_TRUE(finish_);
    EXPECT_EQ(finish_->outcome, final_outcome::failed);
}

// Guards against a query that fails because a gatherer can't be reached: nothing was
// sent, so that both attempts are left.
TEST_F(request_attempts_test, the_shards_of_an_unreachable_gatherer_keep_their_attempts)
{
    begin(2, repeat_rule::repeatable, 1.0, {{base::vm_id("g"), {0, 1}}});
    const std::vector<call_id> calls = gathers_.at(0).calls;
    for (const call_id call : calls) {
        respond(call, response_kind::unreachable);
    }
    ASSERT_EQ(sends_.size(), 2U);
    respond(sends_[0].call, response_kind::unknown);
    EXPECT_EQ(sends_.size(), 3U);
}

// Guards against a silent gatherer that takes a query's whole time with it.
TEST_F(request_attempts_test, the_shards_of_a_silent_gatherer_are_hedged)
{
    begin(4, repeat_rule::repeatable, 0.75, {{base::vm_id("g"), {0}}});
    for (const send_action& send : std::vector<send_action>(sends_)) {
        respond(send.call, response_kind::success);
    }
    advance(31);
    EXPECT_EQ(std::count_if(sends_.begin(), sends_.end(),
                            [](const send_action& send) { return send.shard == 0; }),
              0);
    advance(30);
    EXPECT_EQ(std::count_if(sends_.begin(), sends_.end(),
                            [](const send_action& send) { return send.shard == 0; }),
              1);
}

} // namespace
} // namespace curranthoist::forwarding
