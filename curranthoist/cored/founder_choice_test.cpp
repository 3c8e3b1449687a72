#include "curranthoist/cored/founder_choice.hpp"

#include <gtest/gtest.h>

namespace curranthoist::cored {
namespace {

const base::endpoint low{"10.0.0.1", 7380};
const base::endpoint high{"10.0.0.2", 7380};

// Guards against two logs: two processes that are both told to found one.
TEST(founder_choice_test, one_founder_is_named_and_stays)
{
    founder_choice choice;
    const base::instant start(1000);
    EXPECT_FALSE(choice.ask(high, start));
    EXPECT_EQ(choice.ask(high, start + founder_choice::gather_time), high);
    EXPECT_EQ(choice.ask(low, start + base::duration(900)), high);
}

// Guards against a founder that depends on who asks first.
TEST(founder_choice_test, the_lowest_address_of_those_that_asked_in_time_founds)
{
    founder_choice choice;
    const base::instant start(1000);
    EXPECT_FALSE(choice.ask(high, start));
    EXPECT_FALSE(choice.ask(low, start + base::duration(100)));
    EXPECT_EQ(choice.ask(high, start + founder_choice::gather_time), low);
}

// Guards against a second log after the first seed restarted and forgot whom it named.
TEST(founder_choice_test, a_known_log_is_joined)
{
    founder_choice choice;
    choice.settle(high);
    EXPECT_EQ(choice.ask(low, base::instant(5000)), high);
}

} // namespace
} // namespace curranthoist::cored
