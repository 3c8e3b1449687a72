#include "curranthoist/testing/proof/deployment.hpp"

#include <csignal>

namespace curranthoist::testing {
namespace {

using nlohmann::json;

class control_proof_test : public deployment
{
protected:
    // A change whose effect can be read back.
    static json deadline_change(unsigned deadline_ms)
    {
        return {
            {"kind", "set_limit"}, {"service", "desk"}, {"max_deadline_ms", deadline_ms}};
    }
    std::uint64_t deadline_in_force()
    {
        const json configuration = from_leader("/v1/configuration");
        return configuration["services"][0]["max_deadline_ms"];
    }
    void start_with_service()
    {
        start_control();
        apply({{"kind", "create_service"},
               {"service", "desk"},
               {"service_kind", "query"},
               {"targets", json::array()}});
    }
    // Kills and restarts a member between changes, and again while a confirmation is
    // under way; no acknowledged change may be missing afterwards.
    void change_while_killing(bool kill_leader)
    {
        start_with_service();
        std::uint64_t acknowledged = 0;
        for (unsigned round = 0; round < 3; ++round) {
            const prepared_change change = prepare(deadline_change(1000 + round));
            const unsigned leading = leader();
            const unsigned victim = kill_leader ? leading : (leading + 1) % 3;
            members_[victim].process->send_signal(SIGKILL);
            const operator_answer first = confirm(change);
            ASSERT_EQ(first.status, 200U) << first.body;
            const operator_answer again = confirm(change);
            EXPECT_EQ(again.body, first.body) << "a resend got another outcome";
            EXPECT_GT(first.body["revision"].get<std::uint64_t>(), acknowledged);
            acknowledged = first.body["revision"];
            EXPECT_EQ(deadline_in_force(), 1000 + round);
            members_[victim].process->kill_now();
            start_member(victim);
        }
        EXPECT_GE(from_leader("/v1/configuration")["revision"].get<std::uint64_t>(),
                  acknowledged);
    }
};

// R10, R25: an acknowledged change that a new leader does not have.
TEST_F(control_proof_test, no_acknowledged_change_is_lost_when_leaders_are_killed)
{
    change_while_killing(true);
}

// R10: a change that needs every member, or that a restarted follower takes back.
TEST_F(control_proof_test, no_acknowledged_change_is_lost_when_followers_are_killed)
{
    change_while_killing(false);
}

// R25: both operators accepted, or the second not told what changed.
TEST_F(control_proof_test, of_two_operators_on_one_revision_exactly_one_is_accepted)
{
    start_with_service();
    const prepared_change one = prepare(deadline_change(1111));
    const prepared_change other = prepare(deadline_change(2222));
    const unsigned leading = leader();
    operator_answer answers[2];
    std::thread racer([&] { answers[1] = confirm_at(leading, other); });
    answers[0] = confirm_at(leading, one);
    racer.join();
    const bool first_won = answers[0].status == 200;
    const operator_answer& loser = answers[first_won ? 1 : 0];
    ASSERT_EQ(answers[first_won ? 0 : 1].status, 200U) << answers[1].body;
    EXPECT_EQ(loser.status, 409U) << loser.body;
    ASSERT_FALSE(loser.body["changed"].empty());
    EXPECT_EQ(loser.body["changed"][0]["intent_id"],
              (first_won ? one : other).request["intent_id"]);
    EXPECT_EQ(deadline_in_force(), first_won ? 1111U : 2222U);
}

} // namespace
} // namespace curranthoist::testing
