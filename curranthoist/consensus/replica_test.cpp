#include "curranthoist/consensus/replica_schedule_fixture_test.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace curranthoist::consensus {
namespace {

using namespace base::literals;
using testing_support::schedule_checker;

struct commit_old_terms_by_count : replica_rules
{
    static constexpr bool commit_own_term_only = false;
};

base::member_id id(int number)
{
    return base::member_id(std::to_string(number));
}

// Replicas 1 to `count` with disks that sync at once; the test chooses the messages that
// arrive.
template <class Rules>
class replica_group
{
public:
    using filter = std::function<bool(int from, int to, const message_body&)>;

    explicit replica_group(int count)
    {
        options_.max_append_entries = 1;
        std::vector<member> initial;
        for (int i = 1; i <= count; ++i) {
            initial.push_back({id(i), {"127.0.0.1", 1}, member_role::voter});
        }
        for (int i = 1; i <= count; ++i) {
            first_.identity = id(i);
            first_.vote.term = base::term(1);
            first_.entries = {first_log_entry(membership(initial))};
            replicas_.emplace_back(first_, options_, i, now_);
        }
    }

    // Restarts replicas 1, 2, ... with these states.
    explicit replica_group(const std::vector<storage::recovered_log>& states)
    {
        for (const storage::recovered_log& state : states) {
            const auto seed = static_cast<std::uint64_t>(replicas_.size() + 1);
            replicas_.emplace_back(state, options_, seed, now_);
        }
    }

    basic_replica<Rules>& at(int number)
    {
        return replicas_[static_cast<std::size_t>(number - 1)];
    }
    [[nodiscard]] const schedule_checker& checker() const { return checker_; }
    // Restarts a member that has voted but received no entries, with its vote or without.
    void restart_voter(int number, const base::member_id& voted_for)
    {
        storage::recovered_log state = first_;
        state.identity = id(number);
        state.vote = {at(number).current_term(), voted_for};
        at(number) = basic_replica<Rules>(state, options_, 1, now_);
    }
    // Delivers the messages under way that pass the filter until none is left, and then
    // drops the others.
    void deliver(const filter& passes)
    {
        constexpr int max_deliveries = 1000;
        for (int i = 0; i < max_deliveries; ++i) {
            const auto next =
                std::find_if(network_.begin(), network_.end(), [&](const transit& one) {
                    return passes(one.from, one.to, one.body);
                });
            if (next == network_.end()) {
                break;
            }
            const transit chosen = *next;
            network_.erase(next);
            at(chosen.to).on_message(chosen.body, now_);
            collect(chosen.to);
        }
        network_.clear();
    }
    // Makes a member start an election, as a leader's transfer does.
    void start_election(int number)
    {
        vote_request demand;
        demand.term = at(number).current_term();
        demand.candidate = id(number);
        at(number).on_message(demand, now_);
        collect(number);
    }
    void collect(int number)
    {
        basic_replica<Rules>& replica = at(number);
        while (true) {
            replica_output output = replica.take_output(now_);
            for (outgoing_message& message : output.messages) {
                if (const auto* vote = std::get_if<vote_reply>(&message.body)) {
                    checker_.sent_vote(id(number), *vote, message.to, true);
                }
                network_.push_back(
                    {number, std::stoi(message.to.str()), std::move(message.body)});
            }
            for (const storage::log_entry& entry : output.committed) {
                checker_.committed(id(number), entry);
            }
            if (output.writes.empty()) {
                return;
            }
            replica.on_disk_done(output.writes.back().number, now_);
        }
    }
    void advance(base::duration by)
    {
        now_ = now_ + by;
        for (int i = 1; i <= static_cast<int>(replicas_.size()); ++i) {
            at(i).on_time(now_);
            collect(i);
        }
    }

    // Time passes, and no replica runs meanwhile.
    void stand_still(base::duration time) { now_ = now_ + time; }
    [[nodiscard]] base::instant now() const { return now_; }

private:
    struct transit
    {
        int from;
        int to;
        message_body body;
    };

    replica_options options_;
    storage::recovered_log first_;
    base::instant now_{1000};
    schedule_checker checker_;
    std::deque<basic_replica<Rules>> replicas_;
    std::deque<transit> network_;
};

bool is_vote(const message_body& body)
{
    return std::holds_alternative<vote_request>(body) ||
           std::holds_alternative<vote_reply>(body);
}

// An entry of term 2 that reaches a majority only in term 4, while member 5 holds an
// entry of term 3 at the same index and can still be elected. Returns the checker's
// violation.
template <class Rules>
std::string commit_across_terms()
{
    replica_group<Rules> group(5);
    group.start_election(1);
    group.deliver([](int, int, const message_body& body) { return is_vote(body); });
    EXPECT_TRUE(group.at(1).is_leader());
    group.advance(100_ms);
    group.deliver([](int from, int to, const message_body&) { return from + to == 3; });

    group.start_election(5);
    group.deliver([](int from, int to, const message_body& body) {
        return is_vote(body) && from != 2 && to != 2;
    });
    EXPECT_TRUE(group.at(5).is_leader());
    EXPECT_FALSE(group.at(1).is_leader());

    group.start_election(1);
    group.deliver([](int, int, const message_body& body) { return is_vote(body); });
    EXPECT_TRUE(group.at(1).is_leader());
    group.advance(100_ms);
    group.deliver([](int from, int to, const message_body& body) {
        const auto* request = std::get_if<append_request>(&body);
        const bool new_entry = request != nullptr && !request->entries.empty() &&
                               request->entries.front().index > base::log_index(2);
        return from <= 3 && to <= 3 && !new_entry;
    });

    group.start_election(5);
    group.deliver([](int from, int to, const message_body& body) {
        return is_vote(body) && from != 1 && to != 1;
    });
    EXPECT_TRUE(group.at(5).is_leader());
    group.advance(100_ms);
    group.deliver(
        [](int from, int to, const message_body&) { return from != 1 && to != 1; });
    EXPECT_GE(group.at(5).commit_index(), base::log_index(2));
    return group.checker().violation();
}

TEST(replica_test, entry_of_an_earlier_term_is_not_committed_by_counting)
{
    EXPECT_EQ(commit_across_terms<replica_rules>(), "");
}

TEST(replica_test, check_detects_entries_of_earlier_terms_committed_by_counting)
{
    EXPECT_EQ(commit_across_terms<commit_old_terms_by_count>().substr(0, 10),
              "two values");
}

// Member 3 votes for member 1, restarts, and is asked by member 2 in the same term.
std::string ask_again_after_restart(const base::member_id& recovered_vote)
{
    replica_group<replica_rules> group(3);
    group.start_election(1);
    group.deliver([](int from, int to, const message_body&) { return from + to == 4; });
    group.restart_voter(3, recovered_vote);
    group.start_election(2);
    group.deliver([](int from, int to, const message_body&) { return from + to == 5; });
    return group.checker().violation();
}

TEST(replica_test, restarted_member_does_not_vote_twice_in_a_term)
{
    EXPECT_EQ(ask_again_after_restart(id(1)), "");
}

TEST(replica_test, check_detects_a_second_vote_after_a_lost_vote_file)
{
    EXPECT_EQ(ask_again_after_restart({}), "two votes in one term by 3");
}

// Guards against a member that comes back from a partition and ends a working leader's
// term.
TEST(replica_test, cut_off_member_does_not_disturb_the_leader)
{
    replica_group<replica_rules> group(3);
    group.start_election(1);
    const auto connected = [](int from, int to, const message_body&) {
        return from != 3 && to != 3;
    };
    for (int i = 0; i < 30; ++i) {
        group.advance(100_ms);
        group.deliver(connected);
    }
    const base::term before = group.at(1).current_term();
    for (int i = 0; i < 10; ++i) {
        group.advance(100_ms);
        group.deliver([](int, int, const message_body&) { return true; });
    }
    EXPECT_TRUE(group.at(1).is_leader());
    EXPECT_EQ(group.at(1).current_term(), before);
    EXPECT_EQ(group.at(3).commit_index(), group.at(1).commit_index());
}

// Guards against a leader that keeps leading, and granting, without a quorum.
TEST(replica_test, leader_without_a_quorum_steps_down)
{
    replica_group<replica_rules> group(3);
    group.start_election(1);
    group.deliver([](int, int, const message_body&) { return true; });
    ASSERT_TRUE(group.at(1).is_ready());
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(group.at(1).is_leader());
        group.advance(100_ms);
        group.deliver([](int, int, const message_body&) { return false; });
    }
    EXPECT_FALSE(group.at(1).is_leader());
}

// Guards against a leader that stood still and acts before a quorum has answered it
// again: another one may have been elected, and answers from before lie in its sockets.
TEST(replica_test, a_leader_that_stood_still_acts_after_a_quorum_has_answered_it_again)
{
    replica_group<replica_rules> group(3);
    group.start_election(1);
    const auto all = [](int, int, const message_body&) { return true; };
    group.deliver(all);
    group.advance(100_ms);
    // The answers of this round arrive when it runs again.
    std::vector<message_body> late;
    group.deliver([&late](int, int to, const message_body& body) {
        if (to == 1) {
            late.push_back(body);
        }
        return to != 1;
    });
    ASSERT_FALSE(late.empty());
    EXPECT_EQ(group.at(1).led_term(group.now()), group.at(1).current_term());
    group.stand_still(680_ms);
    EXPECT_EQ(group.at(1).led_term(group.now()), std::nullopt);
    for (const message_body& body : late) {
        group.at(1).on_message(body, group.now());
        EXPECT_EQ(group.at(1).led_term(group.now()), std::nullopt);
    }
    // It has lost nothing if nobody else was elected.
    group.collect(1);
    group.deliver(all);
    EXPECT_EQ(group.at(1).led_term(group.now()), group.at(1).current_term());
}

// Guards against a leader that goes on after it has asked its successor to stand.
TEST(replica_test, a_leader_acts_no_longer_once_its_successor_may_stand)
{
    replica_group<replica_rules> group(3);
    group.start_election(1);
    group.deliver([](int, int, const message_body&) { return true; });
    ASSERT_TRUE(group.at(1).led_term(group.now()));
    EXPECT_TRUE(group.at(1).transfer_leadership(group.now()));
    group.collect(1);
    EXPECT_TRUE(group.at(1).is_leader());
    EXPECT_EQ(group.at(1).led_term(group.now()), std::nullopt);
}

// Guards against members that never elect a leader again: the only voter has added its
// promotion of a learner to its log, and both were stopped before the learner had it.
TEST(replica_test, a_learner_votes_for_the_leader_that_was_about_to_promote_it)
{
    const base::endpoint address{"127.0.0.1", 1};
    const membership before(
        {{id(1), address, member_role::voter}, {id(2), address, member_role::learner}});
    using kind = membership_change::change_kind;
    storage::recovered_log learner;
    learner.identity = id(2);
    learner.vote.term = base::term(1);
    learner.entries = {first_log_entry(before)};
    storage::recovered_log voter = learner;
    voter.identity = id(1);
    voter.entries.push_back(voter.entries.front());
    voter.entries.back().index = voter.entries.front().index.next();
    voter.entries.back().data = before.changed({kind::promote, id(2), {}, {}}).encode();

    replica_group<replica_rules> group({voter, learner});
    for (int i = 0; i < 30 && !group.at(1).is_leader(); ++i) {
        group.advance(100_ms);
        group.deliver([](int, int, const message_body&) { return true; });
    }
    EXPECT_TRUE(group.at(1).is_leader());
    EXPECT_FALSE(group.at(2).is_leader());
    EXPECT_EQ(group.checker().violation(), "");
}

// Guards against two disjoint quorums while one member replaces another.
TEST(replica_test, replacement_needs_quorums_of_old_and_new_voters)
{
    const base::endpoint address{"127.0.0.1", 1};
    const membership old({{id(1), address, member_role::voter},
                          {id(2), address, member_role::voter},
                          {id(3), address, member_role::voter},
                          {id(4), address, member_role::learner}});
    using kind = membership_change::change_kind;
    const membership joint = old.changed({kind::promote, id(4), {}, id(1)});
    const auto quorum_of = [&](int a, int b) {
        return joint.has_quorum(
            [&](const base::member_id& one) { return one == id(a) || one == id(b); });
    };
    EXPECT_TRUE(quorum_of(2, 3));
    EXPECT_FALSE(quorum_of(1, 2));
    EXPECT_FALSE(quorum_of(3, 4));
    const membership after = joint.without_leaving();
    EXPECT_EQ(after.find(id(1)), nullptr);
    EXPECT_EQ(membership::decode(after.encode()), after);
    EXPECT_NE(joint.refusal({kind::remove, id(2), {}, {}}), "");
}

// A role of 1e300 was converted to an integer, which is undefined.
TEST(membership_test, a_role_that_is_no_small_integer_is_refused)
{
    for (const char* role : {"1e300", "-1", "1.5", "true", "4294967296"}) {
        const std::string text =
            std::string(
                R"({"members": [{"id": "c1", "address": "127.0.0.1:1", "role": )") +
            role + R"(}], "outgoing": [], "replaced": "", "replacement": ""})";
        const std::vector<std::uint8_t> bytes(text.begin(), text.end());
        EXPECT_THROW(static_cast<void>(membership::decode(bytes)), base::findings_error)
            << role;
    }
}

} // namespace
} // namespace curranthoist::consensus
