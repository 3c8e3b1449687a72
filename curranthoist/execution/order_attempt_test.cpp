#include "curranthoist/execution/order_attempt.hpp"

#include <gtest/gtest.h>

#include <string>

namespace curranthoist::execution {
namespace {

using namespace base::literals;
using wire::claim_answer;
using wire::part_status;

// Tests one order to a service with the targets t0 (owner vm-0) and t1 (owner vm-1).
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

    // Returns the actions as text, such as "send 100, record ran, answer not run". Stores
    // the sends in `sends` and an answer in `answered`.
    std::string describe_and_store(const std::vector<order_action>& actions)
    {
        std::string description;
        for (const order_action& action : actions) {
            description += description.empty() ? "" : ", ";
            if (std::holds_alternative<claim_order>(action)) {
                description += "claim";
            }
            else if (const auto* send = std::get_if<send_order>(&action)) {
                sends.push_back(*send);
                description += "send " + std::to_string(send->send);
            }
            else if (const auto* record = std::get_if<record_outcome>(&action)) {
                constexpr const char* names[] = {"ran", "not run", "unknown"};
                description += std::string("record ") +
                               names[static_cast<std::size_t>(record->result)];
            }
            else {
                answered = std::get<answer_order>(action);
                constexpr const char* names[] = {"ran", "not run", "unknown"};
                description += std::string("answer ") +
                               names[static_cast<std::size_t>(answered.outcome)];
            }
        }
        return description;
    }

    std::string reply_to_claim(claim_answer answer, const char* body = "")
    {
        return describe_and_store(order->on_claim_reply(now, {5, answer, body}));
    }

    std::string reply(std::uint64_t send, part_status status, bool not_run = false)
    {
        return describe_and_store(
            order->on_order_reply(now, {send, status, not_run, "receipt"}));
    }

    std::string confirm_record()
    {
        return describe_and_store(order->on_outcome_recorded(now));
    }

    std::string advance_time(base::duration elapsed)
    {
        now = now + elapsed;
        return describe_and_store(order->on_time(now));
    }

    void start_and_send()
    {
        EXPECT_EQ(describe_and_store(order->start(now)), "claim");
        EXPECT_EQ(reply_to_claim(claim_answer::granted), "send 100");
    }

    base::instant now{10'000};
    base::random_source random{1};
    routing::scatter_context<> context{random};
    std::shared_ptr<routing::service_map> map = std::make_shared<routing::service_map>();
    std::optional<order_attempt<>> order;
    std::vector<send_order> sends;
    answer_order answered;
};

// Guards against an answer whose outcome control doesn't hold yet: a later attempt of the
// same id could then learn another outcome.
TEST_F(order_attempt_test, an_order_is_recorded_before_it_is_answered)
{
    start_and_send();
    EXPECT_EQ(reply(100, part_status::ok), "record ran");
    EXPECT_EQ(confirm_record(), "answer ran");
    EXPECT_EQ(answered.body, "receipt");
    EXPECT_TRUE(order->finished());
}

// Guards against an order that is refused although another target can run it, and against
// a repeated reply to the first send that is taken for the reply to the second one.
TEST_F(order_attempt_test, another_target_is_tried_after_a_certain_not_run)
{
    start_and_send();
    EXPECT_EQ(reply(100, part_status::shed, true), "send 101");
    EXPECT_NE(sends[0].where.target, sends[1].where.target);
    EXPECT_EQ(reply(100, part_status::ok), "")
        << "a reply to the first send must be ignored after the second send";
    EXPECT_EQ(reply(101, part_status::failed, true), "record not run");
    EXPECT_EQ(confirm_record(), "answer not run");
}

// Guards against an order that runs twice: after these replies the first target may have
// run it. `ok` together with "not run" contradicts itself and also counts as unknown.
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
        EXPECT_EQ(confirm_record(), "answer unknown");
    }
}

// Guards against a second send after the connection to the owner broke: the owner may
// have passed the order to the target. The loss of another VM has no effect.
TEST_F(order_attempt_test, a_lost_owner_means_outcome_unknown)
{
    start_and_send();
    EXPECT_EQ(describe_and_store(order->on_owner_lost(now, base::vm_id("vm-other"))), "");
    EXPECT_EQ(describe_and_store(order->on_owner_lost(now, sends[0].where.owner)),
              "record unknown");
    EXPECT_EQ(reply(100, part_status::shed, true), "");
}

// Guards against the outcome "unknown" for an order that no connection accepted: no byte
// of it left the VM, so another target may be tried.
TEST_F(order_attempt_test, a_send_that_never_left_is_a_certain_not_run)
{
    start_and_send();
    EXPECT_EQ(describe_and_store(order->on_not_sent(now, 100)), "send 101");
    EXPECT_EQ(describe_and_store(order->on_not_sent(now, 100)), "");
    EXPECT_EQ(describe_and_store(order->on_not_sent(now, 101)), "record not run");
}

// Guards against a send without a known claim: the control session breaks before the
// reply, and the grant that arrives afterwards must only be recorded as not run.
TEST_F(order_attempt_test, a_lost_claim_reply_prevents_every_send)
{
    EXPECT_EQ(describe_and_store(order->start(now)), "claim");
    EXPECT_EQ(describe_and_store(order->on_claim_lost(now)),
              "answer unknown, record not run");
    EXPECT_EQ(reply_to_claim(claim_answer::granted), "record not run");
    EXPECT_EQ(confirm_record(), "");
    EXPECT_TRUE(sends.empty());
    EXPECT_TRUE(order->finished());
}

// Guards against a send after the caller was answered: the grant arrives when the time to
// answer is over. A repeated grant has no effect.
TEST_F(order_attempt_test, a_late_grant_sends_nothing)
{
    EXPECT_EQ(describe_and_store(order->start(now)), "claim");
    EXPECT_EQ(advance_time(485_ms), "answer unknown, record not run");
    EXPECT_EQ(reply_to_claim(claim_answer::granted), "record not run");
    EXPECT_EQ(reply_to_claim(claim_answer::granted), "");
}

// Guards against an order that runs again when its id is repeated: control replies with
// the state of the earlier attempt, and this attempt only answers.
TEST_F(order_attempt_test,
       a_repeated_id_is_answered_with_the_stored_outcome_and_sends_nothing)
{
    EXPECT_EQ(describe_and_store(order->start(now)), "claim");
    EXPECT_EQ(reply_to_claim(claim_answer::ran, "first receipt"), "answer ran");
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
        EXPECT_EQ(describe_and_store(order->start(now)), "claim");
        EXPECT_EQ(reply_to_claim(answer), expected);
        EXPECT_TRUE(order->finished());
    }
}

// Guards against the answer "not run" without control's decision: control has no leader,
// and an earlier attempt of the same id may have run.
TEST_F(order_attempt_test, a_claim_waits_for_a_new_leader_and_never_says_not_run)
{
    EXPECT_EQ(describe_and_store(order->start(now)), "claim");
    EXPECT_EQ(reply_to_claim(claim_answer::unavailable), "");
    EXPECT_EQ(order->next_wakeup(), now + 100_ms);
    EXPECT_EQ(advance_time(100_ms), "claim");
    EXPECT_EQ(reply_to_claim(claim_answer::unavailable), "");
    EXPECT_EQ(advance_time(385_ms), "answer unknown");
    EXPECT_TRUE(order->finished());
}

// Guards against a send after the caller was answered "unknown": the refusal arrives
// after the answer and would otherwise permit another target.
TEST_F(order_attempt_test, a_late_reply_is_recorded_but_never_sent_again)
{
    start_and_send();
    EXPECT_EQ(advance_time(485_ms), "answer unknown");
    EXPECT_EQ(reply(100, part_status::shed, true), "record not run");
    EXPECT_EQ(confirm_record(), "");
}

// Guards against an attempt that waits forever: the owner never replies, and the
// connection to it doesn't break.
TEST_F(order_attempt_test, an_owner_that_never_replies_means_outcome_unknown)
{
    start_and_send();
    EXPECT_EQ(advance_time(485_ms), "answer unknown");
    EXPECT_EQ(advance_time(1015_ms), "record unknown");
    EXPECT_EQ(advance_time(300_ms), "record unknown")
        << "the record must be repeated until control has stored it";
    EXPECT_EQ(confirm_record(), "");
}

// Guards against a caller that waits beyond its deadline, and against an attempt that
// never finishes, when control doesn't confirm the record.
TEST_F(order_attempt_test, a_record_that_is_not_confirmed_does_not_delay_the_answer)
{
    start_and_send();
    EXPECT_EQ(reply(100, part_status::ok), "record ran");
    EXPECT_EQ(advance_time(485_ms), "answer ran, record ran");
    EXPECT_EQ(advance_time(11_s), "");
    EXPECT_TRUE(order->finished());
}

// Guards against an order that runs after its caller closed the connection: the target's
// refusal arrives later and would otherwise permit another target.
TEST_F(order_attempt_test, an_order_whose_caller_left_is_not_sent_again)
{
    start_and_send();
    EXPECT_EQ(describe_and_store(order->on_caller_gone(now)), "");
    EXPECT_EQ(reply(100, part_status::shed, true), "record not run");
    EXPECT_EQ(confirm_record(), "");
}

// Guards against a claim that stays pending when the service has no target: it must be
// recorded as not run, so that the caller can send the id again.
TEST_F(order_attempt_test, without_targets_a_granted_claim_is_recorded_as_not_run)
{
    map->targets.clear();
    EXPECT_EQ(describe_and_store(order->start(now)), "claim");
    EXPECT_EQ(reply_to_claim(claim_answer::granted), "record not run");
    EXPECT_EQ(confirm_record(), "answer not run");
}

} // namespace
} // namespace curranthoist::execution
