#include "curranthoist/cored/membership_keeper.hpp"

#include <gtest/gtest.h>

namespace curranthoist::cored {
namespace {

using base::duration;
using base::instant;
using base::member_id;
using consensus::member_role;
using kind = consensus::membership_change::change_kind;

base::endpoint at(int host)
{
    return {"10.0.0." + std::to_string(host), 7380};
}

class membership_keeper_test : public ::testing::Test
{
protected:
    void set(const std::vector<consensus::member>& members)
    {
        status_ = {};
        status_.self = members.front().id;
        status_.members = consensus::membership(members);
        for (const auto& one : members) {
            status_.progress.push_back({one.id, base::log_index(1), now_});
        }
    }
    void silent_for(const std::string& id, std::int64_t milliseconds)
    {
        for (auto& one : status_.progress) {
            if (one.id == member_id(id)) {
                one.last_heard = now_ - duration(milliseconds);
            }
        }
    }
    static consensus::member voter(const std::string& id, int host)
    {
        return {member_id(id), at(host), member_role::voter};
    }

    instant now_{100'000};
    membership_keeper keeper_;
    consensus::replica_status status_;
};

// Guards against a core that stays at the founders although more VMs have a disk.
TEST_F(membership_keeper_test, a_process_that_asks_becomes_a_learner_and_then_a_voter)
{
    set({voter("1", 1), voter("2", 2), voter("3", 3)});
    keeper_.on_join(member_id("4"), at(4), now_);
    auto change = keeper_.next_change(status_, now_);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->kind, kind::add_learner);
    set({voter("1", 1),
         voter("2", 2),
         voter("3", 3),
         {member_id("4"), at(4), member_role::learner}});
    change = keeper_.next_change(status_, now_);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->kind, kind::promote);
    EXPECT_TRUE(change->replaced.empty());
    set({voter("1", 1), voter("2", 2), voter("3", 3), voter("4", 4)});
    EXPECT_FALSE(keeper_.next_change(status_, now_));
}

// Guards against a member without its disk that stays a voter beside its successor.
TEST_F(membership_keeper_test, a_new_identity_at_an_old_address_replaces_the_old_one)
{
    set({voter("1", 1),
         voter("2", 2),
         voter("3", 3),
         {member_id("2-new"), at(2), member_role::learner}});
    keeper_.on_join(member_id("2-new"), at(2), now_);
    const auto change = keeper_.next_change(status_, now_);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->replaced, member_id("2"));
}

// Guards against a lost member that still counts in quorums after its successor came.
TEST_F(membership_keeper_test, a_new_member_replaces_the_voter_that_was_silent_longest)
{
    set({voter("1", 1),
         voter("2", 2),
         voter("3", 3),
         voter("4", 4),
         {member_id("5"), at(5), member_role::learner}});
    silent_for("2", 3000);
    silent_for("3", 4000);
    keeper_.on_join(member_id("5"), at(5), now_);
    const auto change = keeper_.next_change(status_, now_);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->replaced, member_id("3"));
}

// Guards against removals that leave too few members for the next loss.
TEST_F(membership_keeper_test, a_silent_voter_is_removed_only_while_three_are_left)
{
    set({voter("1", 1), voter("2", 2), voter("3", 3), voter("4", 4)});
    silent_for("4", 7000);
    EXPECT_FALSE(keeper_.next_change(status_, now_));
    silent_for("4", 9000);
    const auto change = keeper_.next_change(status_, now_);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->kind, kind::remove);
    EXPECT_EQ(change->id, member_id("4"));
    set({voter("1", 1), voter("2", 2), voter("3", 3)});
    silent_for("3", 9000);
    EXPECT_FALSE(keeper_.next_change(status_, now_));
}

// Guards against a leader that stood still and takes the others, which it could not hear,
// for silent ones: it would remove a voter, or replace one that runs.
TEST_F(membership_keeper_test, the_time_in_which_the_leader_stood_still_is_no_silence)
{
    set({voter("1", 1), voter("2", 2), voter("3", 3), voter("4", 4)});
    EXPECT_FALSE(keeper_.next_change(status_, now_));
    now_ = now_ + duration(9000);
    silent_for("4", 9000);
    EXPECT_FALSE(keeper_.next_change(status_, now_));
    // From here on it is.
    const instant woken = now_;
    for (; now_ - woken <= membership_keeper::remove_after; now_ = now_ + duration(100)) {
        set({voter("1", 1), voter("2", 2), voter("3", 3), voter("4", 4)});
        silent_for("4", (now_ - woken).count() + 9000);
        EXPECT_FALSE(keeper_.next_change(status_, now_));
    }
    const auto change = keeper_.next_change(status_, now_);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->id, member_id("4"));
}

// Guards against a process that asked once, long ago, and is added when it has gone.
TEST_F(membership_keeper_test, a_process_that_no_longer_asks_is_forgotten)
{
    set({voter("1", 1), voter("2", 2), voter("3", 3)});
    keeper_.on_join(member_id("4"), at(4), now_);
    EXPECT_FALSE(keeper_.next_change(status_, now_ + duration(4000)));
}

} // namespace
} // namespace curranthoist::cored
