#include "curranthoist/cored/former_members.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace curranthoist::cored {
namespace {

consensus::member at(unsigned number)
{
    const std::string address = "10.0.0." + std::to_string(number);
    return {
        base::member_id(address + "-a"), {address, 7380}, consensus::member_role::voter};
}

std::vector<std::string> addresses_of(const former_members& former)
{
    std::vector<std::string> result;
    for (const base::endpoint& one : former.addresses()) {
        result.push_back(one.address);
    }
    return result;
}

using addresses = std::vector<std::string>;

// Guards against a removed member that nobody tells where the log is.
TEST(former_members_test, a_removed_member_is_remembered_until_it_is_back)
{
    former_members former;
    former.update(std::vector{at(1), at(2), at(3)});
    EXPECT_EQ(addresses_of(former), addresses{});
    former.update(std::vector{at(1), at(3)});
    former.update(std::vector{at(1), at(3)});
    EXPECT_EQ(addresses_of(former), addresses{"10.0.0.2"});
    consensus::member successor = at(2);
    successor.id = base::member_id("10.0.0.2-b");
    former.update(std::vector{at(1), at(3), successor});
    EXPECT_EQ(addresses_of(former), addresses{});
}

// Guards against a successor at the same address that is taken for a former member while
// the one before it is dropped.
TEST(former_members_test, an_address_with_a_successor_is_current)
{
    former_members former;
    consensus::member successor = at(2);
    successor.id = base::member_id("10.0.0.2-b");
    former.update(std::vector{at(1), at(2), successor});
    former.update(std::vector{at(1), successor});
    EXPECT_EQ(addresses_of(former), addresses{});
}

// Guards against a list that grows with every machine that is ever replaced.
TEST(former_members_test, the_oldest_are_forgotten)
{
    former_members former;
    for (unsigned i = 1; i <= former_members::max_addresses + 3; ++i) {
        former.update(std::vector{at(i)});
    }
    EXPECT_EQ(former.addresses().size(), former_members::max_addresses);
    EXPECT_EQ(former.addresses().front().address, "10.0.0.3");
}

} // namespace
} // namespace curranthoist::cored
