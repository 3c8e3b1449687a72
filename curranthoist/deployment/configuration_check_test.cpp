#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/deployment/configuration_check.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace curranthoist::deployment {
namespace {

using field = configuration_field;

route make_route(const std::string& host, const std::string& prefix)
{
    route result;
    result.name = "r" + host + prefix;
    result.host = host;
    result.path_prefix = prefix;
    result.time_limit = base::duration(1000);
    result.objective = base::duration(60);
    result.services = {{base::service_id("s"), 1.0}};
    return result;
}

configuration make_configuration()
{
    configuration result;
    result.routes = {make_route("a.example", "/"), make_route("a.example", "/x/")};
    result.services[base::service_id("s")] = {.health_path = "/health",
                                              .max_connections = 26,
                                              .cold_time = base::duration(),
                                              .cold_requests_per_second = 0};
    result.teams =
        std::vector<team>{{.name = "t", .keys = {"secret"}, .rate = 5, .burst = 1}};
    return result;
}

// The index of each route, or 0, with the field that a remark names.
std::vector<std::pair<std::size_t, field>> fields_of(const configuration& checked)
{
    std::vector<std::pair<std::size_t, field>> result;
    for (const configuration_remark& one : check_configuration(checked)) {
        result.emplace_back(one.index, one.field);
    }
    return result;
}

using fields = std::vector<std::pair<std::size_t, field>>;

// Guards against warnings about what operators ordinarily configure.
TEST(configuration_check_test, an_ordinary_configuration_gets_no_remark)
{
    EXPECT_EQ(fields_of(make_configuration()), fields{});
    EXPECT_EQ(fields_of(configuration()), fields{});
}

// Guards against a route that loses all requests to another one unnoticed: the document
// allows two hosts that differ in case or port only.
TEST(configuration_check_test, a_route_with_the_same_normalised_host_is_hidden)
{
    configuration checked = make_configuration();
    checked.routes.push_back(make_route("A.Example:80", "/x/"));
    EXPECT_EQ(fields_of(checked), (fields{{1, field::entry}}));
}

// Guards against routes that no request can select.
TEST(configuration_check_test, hosts_and_prefixes_that_no_request_has_are_remarked)
{
    configuration checked = make_configuration();
    checked.routes = {make_route("", "/"),          make_route("a b", "/"),
                      make_route("[::1]", "/"),     make_route("a", "/x?y/"),
                      make_route("a", "/x#y/"),     make_route("a", "/x y/"),
                      make_route("upper.EX", "/a/")};
    EXPECT_EQ(fields_of(checked), (fields{{0, field::host},
                                          {1, field::host},
                                          {2, field::host},
                                          {3, field::path_prefix},
                                          {4, field::path_prefix},
                                          {5, field::path_prefix}}));
}

// Guards against times of a route that exclude each other.
TEST(configuration_check_test, times_that_contradict_each_other_are_remarked)
{
    configuration checked = make_configuration();
    checked.routes[0].objective = base::duration(1001);
    checked.routes[1].objective = base::duration(3);
    checked.routes[1].max_attempts = 2;
    EXPECT_EQ(fields_of(checked),
              (fields{{0, field::time_limit}, {1, field::max_attempts}}));
    checked = make_configuration();
    checked.routes[0].max_attempts = 0;
    checked.routes[1].objective = base::duration(4);
    checked.routes[1].max_attempts = 2;
    EXPECT_EQ(fields_of(checked), (fields{{0, field::max_attempts}}));
}

// Guards against services that get no requests although the document names them.
TEST(configuration_check_test, services_without_requests_are_remarked)
{
    configuration checked = make_configuration();
    checked.services[base::service_id("b")] = checked.services[base::service_id("s")];
    checked.services[base::service_id("c")] = checked.services[base::service_id("s")];
    checked.routes[0].services.push_back({base::service_id("b"), 0.0});
    const auto remarks = check_configuration(checked);
    ASSERT_EQ(remarks.size(), 2U);
    EXPECT_EQ(remarks[0].field, field::weight);
    EXPECT_EQ(remarks[0].element, 1U);
    EXPECT_EQ(remarks[1].field, field::entry);
    EXPECT_EQ(remarks[1].service, "c");
}

// Guards against connection limits under which each VM's only connection is reset.
TEST(configuration_check_test, too_few_connections_are_remarked)
{
    configuration checked = make_configuration();
    for (const std::size_t connections : {0U, 1U}) {
        checked.services[base::service_id("s")].max_connections = connections;
        EXPECT_EQ(fields_of(checked), (fields{{0, field::max_connections}}));
    }
    checked.services[base::service_id("s")].max_connections = 2;
    EXPECT_EQ(fields_of(checked), fields{});
}

// Guards against queries whose responses are empty, never complete or nearly always so.
TEST(configuration_check_test, limits_of_a_query_are_remarked)
{
    configuration checked = make_configuration();
    route& query = checked.routes[1];
    query.services.clear();
    query.shards = {base::service_id("s"), base::service_id("s")};
    query.min_share = 0;
    EXPECT_EQ(
        fields_of(checked),
        (fields{{1, field::shards}, {1, field::top_records}, {1, field::min_share}}));
    query.shards.pop_back();
    query.top_records = 5;
    query.min_share = 1.01;
    EXPECT_EQ(fields_of(checked), (fields{{1, field::min_share}}));
    query.min_share = 1.0;
    EXPECT_EQ(fields_of(checked), fields{});
}

// Guards against a team that can't send, and against a key in a remark.
TEST(configuration_check_test, teams_that_cannot_send_are_remarked)
{
    configuration checked = make_configuration();
    checked.teams->at(0).burst = 0.9;
    checked.teams->push_back({.name = "u", .keys = {}});
    checked.teams->push_back({.name = "v", .keys = {"hidden"}, .burst = 3});
    EXPECT_EQ(fields_of(checked),
              (fields{{0, field::burst}, {1, field::keys}, {2, field::burst}}));
    for (const configuration_remark& one : check_configuration(checked)) {
        EXPECT_EQ(one.text.find("secret"), std::string::npos);
        EXPECT_EQ(one.text.find("hidden"), std::string::npos);
    }
}

// Guards against a last team that is taken out unnoticed, with which all callers lose
// their access.
TEST(configuration_check_test, an_empty_list_of_teams_is_remarked)
{
    configuration checked = make_configuration();
    checked.teams->clear();
    EXPECT_EQ(fields_of(checked), (fields{{0, field::teams}}));
}

// Guards against limits that a VM does not carry although the document states them.
TEST(configuration_check_test, limits_that_no_vm_carries_are_remarked)
{
    configuration checked = make_configuration();
    checked.limits = {.max_header_bytes = 16 * 1024 + 1,
                      .max_body_bytes = 1024 * 1024 + 1,
                      .header_timeout = base::duration(15'001),
                      .idle_timeout = base::duration(15'000)};
    EXPECT_EQ(fields_of(checked), (fields{{0, field::max_header_bytes},
                                          {0, field::max_body_bytes},
                                          {0, field::header_timeout}}));
    checked.limits = {.max_header_bytes = 0,
                      .max_body_bytes = 0,
                      .header_timeout = base::duration(),
                      .idle_timeout = base::duration()};
    EXPECT_EQ(fields_of(checked), (fields{{0, field::max_header_bytes},
                                          {0, field::max_body_bytes},
                                          {0, field::header_timeout},
                                          {0, field::idle_timeout}}));
}

// Guards against limits that are acknowledged and can't be kept on any VM.
TEST(configuration_check_test, limits_beyond_any_vm_are_found)
{
    configuration checked = make_configuration();
    checked.limits.max_header_bytes = configuration_bounds().max_header_bytes;
    EXPECT_TRUE(limits_beyond_any_vm(checked).empty());
    ++checked.limits.max_header_bytes;
    EXPECT_NE(limits_beyond_any_vm(checked).str().find("limits.max_header_bytes"),
              std::string::npos);
}

// Guards against routes that logs and comparisons can't tell apart.
TEST(configuration_check_test, names_that_are_empty_or_repeated_are_remarked)
{
    configuration checked = make_configuration();
    checked.routes[1].name = checked.routes[0].name;
    EXPECT_EQ(fields_of(checked), (fields{{1, field::name}}));
    checked.routes[1].name.clear();
    EXPECT_EQ(fields_of(checked), (fields{{1, field::name}}));
}

} // namespace
} // namespace curranthoist::deployment
