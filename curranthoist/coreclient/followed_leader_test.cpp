#include "curranthoist/coreclient/followed_leader.hpp"
#include "curranthoist/coreclient/leader_claim.hpp"
#include "curranthoist/coreclient/listing_order.hpp"

#include <gtest/gtest.h>

namespace curranthoist::coreclient {
namespace {

using namespace base::literals;
using verdict = followed_leader::verdict;

constexpr base::duration limit = 1200_ms;
const base::endpoint first{"10.0.0.1", 7000};
const base::endpoint second{"10.0.0.2", 7000};
const base::endpoint third{"10.0.0.3", 7000};
constexpr base::term no_term{};

class followed_leader_test : public ::testing::Test
{
protected:
    // An answer to a report that was sent `age` ago.
    verdict hear(const base::endpoint& member, bool leads, base::term term,
                 base::duration age = 1_ms)
    {
        return leader_.hear({member, leads, term, now_ - age}, now_);
    }
    bool take(const base::endpoint& publisher, base::term term, std::uint64_t sequence,
              std::uint64_t base = 0)
    {
        return order_.take({publisher, term, sequence}, base, leader_);
    }

    base::instant now_{100'000};
    followed_leader leader_{limit};
    listing_order order_;
};

// Guards against a front that takes the word of a deposed leader after the word of its
// successor, or of a member that follows the successor.
TEST_F(followed_leader_test, the_leader_of_an_earlier_term_is_refused)
{
    EXPECT_EQ(hear(first, true, base::term(3)), verdict::changed);
    EXPECT_EQ(hear(first, true, base::term(3)), verdict::known);
    EXPECT_TRUE(leader_.responds(now_));
    EXPECT_EQ(hear(third, false, base::term(4)), verdict::no_leader);
    EXPECT_FALSE(leader_.responds(now_));
    EXPECT_EQ(hear(first, true, base::term(3)), verdict::refused);
    EXPECT_EQ(hear(second, true, base::term(4)), verdict::changed);
    EXPECT_EQ(leader_.address(), second);
    EXPECT_EQ(hear(first, true, base::term(3)), verdict::refused);
    EXPECT_TRUE(leader_.responds(now_));
}

// Guards against a front that stood still and believes an answer from before.
TEST_F(followed_leader_test, an_answer_to_an_old_report_names_no_leader)
{
    EXPECT_EQ(hear(first, true, base::term(3), limit + 1_ms), verdict::refused);
    EXPECT_EQ(leader_.hear({first, true, base::term(3), std::nullopt}, now_),
              verdict::refused);
    EXPECT_FALSE(leader_.responds(now_));
    // The term counts all the same.
    EXPECT_EQ(hear(second, true, base::term(2)), verdict::refused);
}

// Guards against a front that does not notice that the same process leads again, without
// what was reported to it before.
TEST_F(followed_leader_test, the_same_process_in_a_later_term_is_a_new_leader)
{
    EXPECT_EQ(hear(first, true, base::term(3)), verdict::changed);
    EXPECT_EQ(hear(first, true, base::term(5)), verdict::changed);
    EXPECT_EQ(hear(first, true, base::term(3)), verdict::refused);
}

// Guards against a front that is left without a leader while members of the version
// before, which don't tell their term, lead or follow.
TEST_F(followed_leader_test, members_that_tell_no_term_are_believed_when_no_other_answers)
{
    EXPECT_EQ(hear(first, true, no_term), verdict::changed);
    EXPECT_EQ(hear(second, true, no_term), verdict::changed);
    EXPECT_EQ(hear(third, false, base::term(7)), verdict::no_leader);
    EXPECT_EQ(hear(second, true, no_term), verdict::known);
    EXPECT_TRUE(leader_.responds(now_));
    EXPECT_EQ(hear(third, true, base::term(8)), verdict::changed);
    EXPECT_EQ(hear(second, true, no_term), verdict::refused);
    now_ = now_ + limit + 2_ms;
    EXPECT_EQ(hear(second, true, no_term), verdict::changed);
}

// Guards against a front without a leader when one of the two addresses at which it
// reaches the same process fails.
TEST_F(followed_leader_test,
       a_second_leader_of_one_term_is_believed_when_the_first_is_gone)
{
    EXPECT_EQ(hear(first, true, base::term(3)), verdict::changed);
    EXPECT_EQ(hear(second, true, base::term(3)), verdict::refused);
    now_ = now_ + limit + 2_ms;
    EXPECT_EQ(hear(second, true, base::term(3)), verdict::changed);
}

// Guards against the fault of docs/incidents/list-of-a-deposed-leader.md: a list that was
// published under the term of another leader, with a higher sequence, blocks the lists of
// that leader.
TEST_F(followed_leader_test, the_sequences_of_two_publishers_are_not_compared)
{
    hear(second, true, base::term(4));
    EXPECT_TRUE(take(first, base::term(4), 9));
    EXPECT_TRUE(take(second, base::term(4), 1));
    EXPECT_FALSE(take(first, base::term(4), 10));
    EXPECT_FALSE(take(second, base::term(4), 1));
    EXPECT_TRUE(take(second, base::term(4), 2, 1));
    EXPECT_FALSE(take(second, base::term(4), 4, 3));
    EXPECT_EQ(order_.held_for(second).sequence, 2U);
    // Told to the wrong one, it could be the number of one of its own lists.
    EXPECT_EQ(order_.held_for(first), listing_number());
}

// Guards against a list, or the confirmation of one, of a leader that has a successor.
TEST_F(followed_leader_test, lists_of_an_earlier_term_are_refused)
{
    EXPECT_TRUE(take(first, base::term(3), 1));
    EXPECT_TRUE(order_.confirms({first, base::term(3), 1}, leader_));
    EXPECT_FALSE(order_.confirms({second, base::term(3), 1}, leader_));
    hear(third, false, base::term(4));
    EXPECT_FALSE(take(first, base::term(3), 2));
    EXPECT_FALSE(take(first, base::term(3), 2, 1));
    EXPECT_FALSE(order_.confirms({first, base::term(3), 1}, leader_));
    // Changes need the publisher's own list.
    EXPECT_FALSE(take(second, base::term(4), 2, 1));
    EXPECT_TRUE(take(second, base::term(4), 2));
}

} // namespace
} // namespace curranthoist::coreclient
