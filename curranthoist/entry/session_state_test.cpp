#include "curranthoist/entry/claim_ledger.hpp"
#include "curranthoist/entry/fact_outbox.hpp"

#include <gtest/gtest.h>

namespace curranthoist::entry {
namespace {

wire::target_fact_message fact_of(const char* target, bool cold)
{
    wire::target_fact_message fact;
    fact.target = target;
    fact.cold = cold;
    return fact;
}

std::size_t facts_in(fact_outbox& outbox, std::uint64_t sequence)
{
    wire::heartbeat_message heartbeat;
    heartbeat.sequence = sequence;
    outbox.fill(heartbeat);
    return heartbeat.facts.size();
}

// A fact that changes after the heartbeat that carried the old one must not be lost.
TEST(fact_outbox_test, repeats_a_fact_until_a_heartbeat_that_carried_it_is_answered)
{
    fact_outbox outbox;
    outbox.set(fact_of("a", false));
    outbox.set(fact_of("b", false));
    EXPECT_EQ(facts_in(outbox, 1), 2U);
    EXPECT_EQ(facts_in(outbox, 2), 2U);
    outbox.set(fact_of("a", true));
    outbox.on_answered(2);
    EXPECT_EQ(facts_in(outbox, 3), 1U);
    outbox.on_answered(3);
    outbox.set(fact_of("a", true));
    EXPECT_EQ(facts_in(outbox, 4), 0U);
    outbox.send_all();
    EXPECT_EQ(facts_in(outbox, 5), 2U);
}

class claim_ledger_test : public testing::Test
{
protected:
    claim_ledger_test()
    {
        request_.request_id = "1-a";
        request_.attempt = 5;
    }
    bool reply(std::uint64_t attempt)
    {
        flatbuffers::FlatBufferBuilder builder;
        wire::claim_reply_message message;
        message.request_id = "1-a";
        message.attempt = attempt;
        message.answer = wire::claim_answer::granted;
        builder.Finish(wire::claim_reply::Pack(builder, &message));
        return ledger_.on_reply(
            *flatbuffers::GetRoot<wire::claim_reply>(builder.GetBufferPointer()));
    }

    claim_ledger ledger_;
    wire::claim_request_message request_;
};

// R7: a claim that is granted after its order gave up would stay pending for ever.
TEST_F(claim_ledger_test, reports_a_grant_that_nobody_waits_for)
{
    int answers = 0;
    ledger_.add_claim(request_, [&](const auto& answer) { answers += answer ? 1 : 0; });
    EXPECT_TRUE(reply(4));
    EXPECT_FALSE(reply(5));
    EXPECT_EQ(answers, 1);
    EXPECT_TRUE(reply(5));
}

// R7: an order that waits for an answer on a dead connection could be sent much later.
TEST_F(claim_ledger_test, reports_waiting_claims_as_lost_when_the_connection_breaks)
{
    int lost = 0;
    ledger_.add_claim(request_, [&](const auto& answer) { lost += answer ? 0 : 1; });
    ledger_.on_disconnected();
    ledger_.on_disconnected();
    EXPECT_EQ(lost, 1);
}

} // namespace
} // namespace curranthoist::entry
