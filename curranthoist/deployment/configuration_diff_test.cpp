#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/deployment/configuration_diff.hpp"

#include <gtest/gtest.h>

namespace curranthoist::deployment {
namespace {

using field = configuration_field;
using change_kind = entry_change::change_kind;

route make_route(const std::string& name)
{
    route result;
    result.name = name;
    result.host = "a.example";
    result.path_prefix = "/" + name + "/";
    result.time_limit = base::duration(1000);
    result.services = {{base::service_id("s"), 1.0}};
    return result;
}

configuration make_configuration()
{
    configuration result;
    result.routes = {make_route("one"), make_route("two")};
    result.services[base::service_id("s")] = {};
    result.teams = std::vector<team>{{.name = "t", .keys = {"k1", "k2"}}};
    return result;
}

// Guards against differences reported for routes that only moved in the list, or for the
// version.
TEST(configuration_diff_test, order_and_version_are_no_difference)
{
    const configuration before = make_configuration();
    configuration after = make_configuration();
    after.version = 9;
    std::swap(after.routes[0], after.routes[1]);
    EXPECT_TRUE(compare_configurations(before, after).empty());
}

// Guards against entries that come or go unnoticed.
TEST(configuration_diff_test, added_and_removed_entries_are_told_by_name)
{
    const configuration before = make_configuration();
    configuration after = make_configuration();
    after.routes[1] = make_route("three");
    after.services[base::service_id("x")] = {};
    after.teams = std::vector<team>{{.name = "u", .keys = {"k3"}}};
    const auto changes = compare_configurations(before, after);
    ASSERT_EQ(changes.size(), 5U);
    EXPECT_EQ(changes[0].name, "two");
    EXPECT_EQ(changes[0].kind, change_kind::removed);
    EXPECT_EQ(changes[1].name, "three");
    EXPECT_EQ(changes[1].kind, change_kind::added);
    EXPECT_EQ(changes[2].name, "x");
    EXPECT_EQ(changes[2].part, configuration_part::service);
    EXPECT_EQ(changes[3].keys_withdrawn, 2U);
    EXPECT_EQ(changes[4].keys_added, 1U);
}

// Guards against a changed field that is left out or has its values the wrong way round.
TEST(configuration_diff_test, changed_fields_are_told_with_both_values)
{
    const configuration before = make_configuration();
    configuration after = make_configuration();
    after.routes[0].time_limit = base::duration(300);
    after.routes[0].services = {{base::service_id("s"), 1.0},
                                {base::service_id("x"), 0.25}};
    after.services[base::service_id("s")].max_connections = 7;
    after.limits.max_body_bytes = 1;
    const auto changes = compare_configurations(before, after);
    ASSERT_EQ(changes.size(), 3U);
    EXPECT_EQ(changes[0].fields,
              (std::vector<field_change>{{field::time_limit, "1000 ms", "300 ms"},
                                         {field::services, "s", "s 1, x 0.25"}}));
    EXPECT_EQ(changes[1].fields,
              (std::vector<field_change>{{field::max_connections, "1", "7"}}));
    EXPECT_EQ(changes[2].part, configuration_part::limits);
}

// Guards against a list of all shards for each repartition, and against a change of their
// order that is lost.
TEST(configuration_diff_test, only_the_shards_that_differ_are_listed)
{
    configuration before = make_configuration();
    before.routes[0].services.clear();
    before.routes[0].shards = {base::service_id("a"), base::service_id("b")};
    configuration after = before;
    after.routes[0].shards = {base::service_id("a"), base::service_id("c"),
                              base::service_id("d")};
    auto changes = compare_configurations(before, after);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].fields,
              (std::vector<field_change>{{field::shards, "2 shards (only here: b)",
                                          "3 shards (only here: c, d)"}}));
    after.routes[0].shards = {base::service_id("b"), base::service_id("a")};
    changes = compare_configurations(before, after);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].fields[0].after, "2 shards in another order");
}

// Guards against a comparison in which a configuration that requires keys and one that
// requires none look alike.
TEST(configuration_diff_test, a_list_of_teams_that_is_left_out_is_told)
{
    configuration before = make_configuration();
    before.teams->clear();
    configuration after = before;
    after.teams.reset();
    const auto changes = compare_configurations(before, after);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].part, configuration_part::whole);
    EXPECT_EQ(changes[0].fields,
              (std::vector<field_change>{{field::teams, "present", "absent"}}));
}

// Guards against keys in the output.
TEST(configuration_diff_test, keys_are_counted_and_never_told)
{
    const configuration before = make_configuration();
    configuration after = make_configuration();
    after.teams->at(0).keys = {"k2", "k3", "k4"};
    const auto changes = compare_configurations(before, after);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].keys_added, 2U);
    EXPECT_EQ(changes[0].keys_withdrawn, 1U);
    EXPECT_TRUE(changes[0].fields.empty());
}

// Guards against routes of one name that replace each other in the comparison.
TEST(configuration_diff_test, routes_of_one_name_are_compared_in_order)
{
    configuration before = make_configuration();
    before.routes[1].name = "one";
    configuration after = before;
    after.routes[1].max_attempts = 3;
    const auto changes = compare_configurations(before, after);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].fields,
              (std::vector<field_change>{{field::max_attempts, "1", "3"}}));
}

} // namespace
} // namespace curranthoist::deployment
