#include "curranthoist/execution/order_attempt.hpp"

#include <gtest/gtest.h>

#include <string>

namespace curranthoist::execution {
namespace {

using namespace base::literals;
using wire::claim_answer;
using wire::part_status;

// One order to a service with targets t0 (vm-0) and t1 (vm-1).
class order_attempt_test : public testing::Test
{
public:
    order_attempt_test()
    {
        for (const char* name : {"0", "1"}) {
            map->targets.push_back({base::target_id(std::string("t") + name),
                                    base::vm_id(std::string("vm-") + name),
                                    base::fence(1), false});
        }
        order_options options;
        options.attempt = 5;
        options.first_send = 100;
        options.deadline = now + 500_ms;
        order.emplace(context, map, options);
    }

    // The actions as text, such as "send 100, record ran, answer not run".
    std::string take(const std::vector<order_action>& actions)
    {
        std::string all;
        for (const order_action& action : actions) {
            all += all.empty() ? "" : ", ";
            if (std::holds_alternative<claim_order>(action)) {
                all += "claim";
            }
            else if (const auto* send = std::get_if<send_order>(&action)) {
                sends.push_back(*send);
                all += "send " + std::to_string(send->send);
            }
            else if (const auto* record = std::get_if<record_outcome>(&action)) {
                constexpr const char* names[] = {"ran", "not run", "unknown"};
                all += std::string("record ") +
                       names[static_cast<std::size_t>(record->result)];
            }
            else {
                answered = std::get<answer_order>(action);
                constexpr const char* names[] = {"ran", "not run", "unknown"};
                all += std::string("answer ") +
                       names[static_cast<std::size_t>(answered.outcome)];
            }
        }
        return all;
    }

    std::string claim_answered(claim_answer answer, const char* body = "")
    {
        return take(order->on_claim_reply(now, {5, answer, body}));
    }

    std::string reply(std::uint64_t send, part_status status, bool not_run = false)
    {
        return take(order->on_order_reply(now, {send, status, not_run, "receipt"}));
    }

    std::string recorded() { return take(order->on_outcome_recorded(now)); }

    std::string time_passes(base::duration by)
    {
        now = now + by;
        return take(order->on_time(now));
    }

    void start_and_send()
    {
        EXPECT_EQ(take(order->start(now)), "claim");
        EXPECT_EQ(claim_answered(claim_answer::granted), "send 100");
    }

    base::instant now{10'000};
    base::random_source random{1};
    routing::scatter_context<> context{random};
    std::shared_ptr<routing::service_map> map = std::make_shared<routing::service_map>();
    std::optional<order_attempt<>> order;
    std::vector<send_order> sends;
    answer_order answered;
};

TEST_F(order_attempt_test, an_order_is_recorded_before_it_is_answered)
{
    start_and_send();
    EXPECT_EQ(reply(100, part_status::ok), "record ran");
    EXPECT_EQ(recorded(), "answer ran");
    EXPECT_EQ(answered.body, "receipt");
    EXPECT_TRUE(order->finished());
}

TEST_F(order_attempt_test, another_target_is_tried_after_a_certain_not_run)
{
    start_and_send();
    EXPECT_EQ(reply(100, part_status::shed, true), "send 101");
    EXPECT_NE(sends[0].where.target, sends[1].where.target);
    EXPECT_EQ(reply(100, part_status::ok), "") << "a repeated reply of the first send";
    EXPECT_EQ(reply(101, part_status::failed, true), "record not run");
    EXPECT_EQ(recorded(), "answer not run");
}

TEST_F(order_attempt_test, nothing_is_sent_again_when_the_order_may_have_run)
{
    for (const auto& [status, not_run] :
         {std::pair(part_status::failed, false), std::pair(part_status::timed_out, false),
          std::pair(part_status::outcome_unknown, false),
          std::pair(part_status::malformed, false), std::pair(part_status::shed, false),
          std::pair(part_status::ok, true)}) {
        order_options options;
        options.attempt = 5;
        options.first_send = 100;
        options.deadline = now + 500_ms;
        order.emplace(context, map, options);
        start_and_send();
        EXPECT_EQ(reply(100, status, not_run), "record unknown");
        EXPECT_EQ(recorded(), "answer unknown");
    }
}

TEST_F(order_attempt_test, a_lost_owner_means_outcome_unknown)
{
    start_and_send();
    EXPECT_EQ(take(order->on_owner_lost(now, base::vm_id("vm-other"))), "");
    EXPECT_EQ(take(order->on_owner_lost(now, sends[0].where.owner)), "record unknown");
    EXPECT_EQ(reply(100, part_status::shed, true), "");
}

TEST_F(order_attempt_test, a_message_that_never_left_is_a_certain_not_run)
{
    start_and_send();
    EXPECT_EQ(take(order->on_not_sent(now, 100)), "send 101");
    EXPECT_EQ(take(order->on_not_sent(now, 100)), "");
    EXPECT_EQ(take(order->on_not_sent(now, 101)), "record not run");
}

TEST_F(order_attempt_test, a_lost_claim_answer_means_never_send)
{
    EXPECT_EQ(take(order->start(now)), "claim");
    EXPECT_EQ(take(order->on_claim_lost(now)), "answer unknown, record not run");
    EXPECT_EQ(claim_answered(claim_answer::granted), "record not run");
    EXPECT_EQ(recorded(), "");
    EXPECT_TRUE(sends.empty());
    EXPECT_TRUE(order->finished());
}

TEST_F(order_attempt_test, a_late_grant_sends_nothing)
{
    EXPECT_EQ(take(order->start(now)), "claim");
    EXPECT_EQ(time_passes(485_ms), "answer unknown, record not run");
    EXPECT_EQ(claim_answered(claim_answer::granted), "record not run");
    EXPECT_EQ(claim_answered(claim_answer::granted), "");
}

TEST_F(order_attempt_test, a_repeated_id_learns_the_stored_outcome_and_sends_nothing)
{
    EXPECT_EQ(take(order->start(now)), "claim");
    EXPECT_EQ(claim_answered(claim_answer::ran, "first receipt"), "answer ran");
    EXPECT_EQ(answered.body, "first receipt");
    for (const auto& [answer, expected] :
         {std::pair(claim_answer::pending, "answer unknown"),
          std::pair(claim_answer::unknown, "answer unknown"),
          std::pair(claim_answer::expired, "answer unknown"),
          std::pair(claim_answer::too_new, "answer not run")}) {
        order_options options;
        options.attempt = 5;
        options.deadline = now + 500_ms;
        order.emplace(context, map, options);
        EXPECT_EQ(take(order->start(now)), "claim");
        EXPECT_EQ(claim_answered(answer), expected);
        EXPECT_TRUE(order->finished());
    }
}

TEST_F(order_attempt_test, a_claim_waits_for_a_new_leader_and_never_says_not_run)
{
    EXPECT_EQ(take(order->start(now)), "claim");
    EXPECT_EQ(claim_answered(claim_answer::unavailable), "");
    EXPECT_EQ(order->next_wakeup(), now + 100_ms);
    EXPECT_EQ(time_passes(100_ms), "claim");
    EXPECT_EQ(claim_answered(claim_answer::unavailable), "");
    EXPECT_EQ(time_passes(385_ms), "answer unknown");
    EXPECT_TRUE(order->finished());
}

TEST_F(order_attempt_test, a_late_reply_is_recorded_but_never_sent_again)
{
    start_and_send();
    EXPECT_EQ(time_passes(485_ms), "answer unknown");
    EXPECT_EQ(reply(100, part_status::shed, true), "record not run");
    EXPECT_EQ(recorded(), "");
}

TEST_F(order_attempt_test, a_silent_owner_ends_in_unknown)
{
    start_and_send();
    EXPECT_EQ(time_passes(485_ms), "answer unknown");
    EXPECT_EQ(time_passes(1015_ms), "record unknown");
    EXPECT_EQ(time_passes(300_ms), "record unknown") << "repeated until it is stored";
    EXPECT_EQ(recorded(), "");
}

TEST_F(order_attempt_test, a_record_that_is_not_confirmed_does_not_delay_the_answer)
{
    start_and_send();
    EXPECT_EQ(reply(100, part_status::ok), "record ran");
    EXPECT_EQ(time_passes(485_ms), "answer ran, record ran");
    EXPECT_EQ(time_passes(11_s), "");
    EXPECT_TRUE(order->finished());
}

TEST_F(order_attempt_test, an_order_whose_caller_left_is_not_sent_again)
{
    start_and_send();
    EXPECT_EQ(take(order->on_caller_gone(now)), "");
    EXPECT_EQ(reply(100, part_status::shed, true), "record not run");
    EXPECT_EQ(recorded(), "");
}

TEST_F(order_attempt_test, without_targets_a_granted_claim_is_returned)
{
    map->targets.clear();
    EXPECT_EQ(take(order->start(now)), "claim");
    EXPECT_EQ(claim_answered(claim_answer::granted), "record not run");
    EXPECT_EQ(recorded(), "answer not run");
}

} // namespace
} // namespace curranthoist::execution
