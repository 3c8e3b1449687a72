#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/control/configuration_delta.hpp"
#include "curranthoist/entry/control_session.hpp"
#include "curranthoist/entry/fake_peer_test.hpp"
#include "curranthoist/entry/peer_link.hpp"
#include "curranthoist/testing/loopback.hpp"

#include <gtest/gtest.h>

namespace curranthoist::entry {
namespace {

const base::endpoint first_address{testing::loopback_address(1), 7100};
const base::endpoint second_address{testing::loopback_address(2), 7100};

wire::heartbeat_reply_message reply_to(const wire::heartbeat& heartbeat,
                                       std::uint64_t revision)
{
    wire::heartbeat_reply_message reply;
    reply.sequence = heartbeat.sequence();
    reply.granted = true;
    reply.revision = revision;
    return reply;
}

wire::configuration_update_message update_to(std::uint64_t revision)
{
    control::configuration configuration;
    configuration.number = base::revision(revision);
    wire::configuration_update_message update;
    update.value =
        std::make_unique<wire::configuration_message>(control::to_message(configuration));
    return update;
}

class control_session_test : public ::testing::Test
{
protected:
    // Makes the peer a leader that grants every heartbeat.
    static void grant(fake_peer& peer, std::uint64_t revision)
    {
        peer.on_message = [&peer, revision](const wire::envelope& message) {
            if (const auto* heartbeat = message.body_as_heartbeat()) {
                peer.send(update_to(revision));
                peer.send(reply_to(*heartbeat, revision));
            }
        };
    }
    control_session& start(std::vector<base::endpoint> addresses)
    {
        session_ = std::make_unique<control_session>(
            loop_, session_identity{base::vm_id("vm-1"), base::zone_id("a"), {}},
            std::move(addresses), metrics_,
            control_session::handlers{[this] { ++configurations_; },
                                      [](const wire::roster_update&) {}, [] {}});
        session_->start();
        return *session_;
    }

    ev::dynamic_loop loop_;
    base::counter_registry metrics_;
    std::unique_ptr<control_session> session_;
    int configurations_ = 0;
};

// R28: a session that waits for ever on a connection that has gone silent.
TEST_F(control_session_test, leaves_a_control_process_that_does_not_answer)
{
    fake_peer silent(loop_, first_address);
    fake_peer leader(loop_, second_address);
    grant(leader, 3);
    const control_session& session = start({first_address, second_address});
    EXPECT_TRUE(run_until(loop_, [&] { return session.lease_valid(); }));
    EXPECT_EQ(silent.accepted(), 1U);
    EXPECT_EQ(session.configuration().number, base::revision(3));
}

TEST_F(control_session_test, follows_the_hint_of_a_process_that_is_not_the_leader)
{
    fake_peer follower(loop_, first_address);
    fake_peer leader(loop_, second_address);
    follower.on_message = [&](const wire::envelope& message) {
        if (message.body_as_heartbeat() != nullptr) {
            wire::heartbeat_reply_message reply;
            reply.not_leader = true;
            reply.leader = second_address.str();
            follower.send(std::move(reply));
        }
    };
    grant(leader, 1);
    const control_session& session = start({first_address});
    EXPECT_TRUE(run_until(loop_, [&] { return session.lease_valid(); }));
}

// R10: an older revision that arrives late must not come into force again.
TEST_F(control_session_test, applies_rising_revisions_only)
{
    fake_peer leader(loop_, first_address);
    grant(leader, 5);
    const control_session& session = start({first_address});
    ASSERT_TRUE(run_until(loop_, [&] { return session.lease_valid(); }));
    const int before = configurations_;
    leader.send(update_to(4));
    leader.send(update_to(5));
    leader.send(update_to(6));
    EXPECT_TRUE(run_until(
        loop_, [&] { return session.configuration().number == base::revision(6); }));
    EXPECT_EQ(configurations_, before + 1);
}

// R10: a delta that is repeated or whose base is missing must change nothing.
TEST_F(control_session_test, applies_a_delta_on_its_own_base_only)
{
    const auto delta = [](std::uint64_t base, std::uint64_t revision) {
        control::configuration_delta value;
        value.base = base::revision(base);
        value.changed.number = base::revision(revision);
        value.changed.zones[base::zone_id("z" + std::to_string(revision))] = {};
        return control::to_message(value);
    };
    fake_peer leader(loop_, first_address);
    grant(leader, 5);
    const control_session& session = start({first_address});
    ASSERT_TRUE(run_until(loop_, [&] { return session.lease_valid(); }));
    for (const auto& [base, revision] : {std::pair(5, 7), {5, 7}, {6, 9}, {7, 8}}) {
        leader.send(delta(base, revision));
    }
    EXPECT_TRUE(run_until(
        loop_, [&] { return session.configuration().number == base::revision(8); }));
    EXPECT_EQ(session.configuration().zones.size(), 2U);
    EXPECT_FALSE(session.configuration().zones.contains(base::zone_id("z9")));
}

// R7: an order whose claim is answered by nobody must learn that the answer is lost, and
// one without a session that nothing was asked.
TEST_F(control_session_test, reports_a_claim_without_an_answer_as_lost)
{
    wire::claim_request_message request;
    request.request_id = "1-a";
    fake_peer leader(loop_, first_address);
    control_session& session = start({first_address});
    EXPECT_FALSE(session.claim(request, [](const auto&) {}));
    ASSERT_TRUE(run_until(loop_, [&] { return leader.accepted() == 1; }));
    int lost = 0;
    ASSERT_TRUE(run_until(loop_, [&] {
        return session.claim(request, [&](const auto& reply) { lost += reply ? 0 : 1; });
    }));
    EXPECT_TRUE(run_until(loop_, [&] { return lost == 1; }));
}

class peer_link_test : public ::testing::Test
{
protected:
    peer_link_test()
        : peer_(loop_, first_address)
        , link_(loop_, base::vm_id("vm-1"), base::vm_id("vm-2"), first_address,
                {[](const wire::envelope&) {},
                 [this](bool usable) { losses_ += usable ? 0 : 1; }})
    {}
    void answer_hellos()
    {
        peer_.on_message = [this](const wire::envelope& message) {
            if (message.body_as_hello() != nullptr) {
                ++hellos_;
                peer_.send(wire::hello_message());
            }
        };
    }

    ev::dynamic_loop loop_;
    int losses_ = 0;
    int hellos_ = 0;
    fake_peer peer_;
    peer_link link_;
};

// R28: parts that wait until their deadlines, query after query, on a silent connection.
TEST_F(peer_link_test, gives_up_a_silent_connection_and_opens_a_new_one)
{
    EXPECT_TRUE(run_until(loop_, [&] { return losses_ == 1; }));
    answer_hellos();
    EXPECT_TRUE(run_until(loop_, [&] { return peer_.accepted() == 2 && hellos_ > 0; }));
}

// A healthy owner that is slow to answer a part must not lose its connection.
TEST_F(peer_link_test, keeps_a_connection_whose_probe_is_answered)
{
    answer_hellos();
    ASSERT_TRUE(run_until(loop_, [&] { return hellos_ == 1; }));
    // What is sent is never answered; only probes are.
    EXPECT_TRUE(run_until(loop_, [&] {
        link_.send(wire::part_cancel_message());
        return hellos_ == 5;
    }));
    EXPECT_EQ(losses_, 0);
    EXPECT_EQ(peer_.accepted(), 1U);
}

} // namespace
} // namespace curranthoist::entry
