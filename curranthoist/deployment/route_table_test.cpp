#include "curranthoist/deployment/route_table.hpp"

#include <gtest/gtest.h>

namespace curranthoist::deployment {
namespace {

route make_route(const std::string& host, const std::string& prefix)
{
    route result;
    result.name = host + prefix;
    result.host = host;
    result.path_prefix = prefix;
    return result;
}

configuration make_configuration()
{
    configuration result;
    result.routes = {make_route("a.example", "/"), make_route("a.example", "/x/"),
                     make_route("a.example", "/x/y/"), make_route("b.example", "/x/")};
    return result;
}

std::string find_route_name(std::string_view host, std::string_view path)
{
    const route_table table(make_configuration());
    const route* match = table.find(host, path);
    return match == nullptr ? "" : match->name;
}

// Guards against a request that goes to a route with a shorter prefix although a route
// with a longer prefix matches too.
TEST(route_table_test, the_longest_prefix_wins)
{
    EXPECT_EQ(find_route_name("a.example", "/x/y/z"), "a.example/x/y/");
    EXPECT_EQ(find_route_name("a.example", "/x/yz"), "a.example/x/");
    EXPECT_EQ(find_route_name("a.example", "/q"), "a.example/");
}

// Guards against prefixes that are compared without their final slash: "/x/" is not a
// prefix of "/xy".
TEST(route_table_test, a_prefix_matches_whole_segments_only)
{
    EXPECT_EQ(find_route_name("b.example", "/xy/z"), "");
    EXPECT_EQ(find_route_name("b.example", "/x"), "");
    EXPECT_EQ(find_route_name("b.example", "/x/"), "b.example/x/");
}

// Guards against slashes in the query that are parsed as separators of path segments.
TEST(route_table_test, the_query_does_not_select_a_route)
{
    EXPECT_EQ(find_route_name("b.example", "/q?next=/x/"), "");
    EXPECT_EQ(find_route_name("a.example", "/x/q?a=/x/y/z"), "a.example/x/");
}

// Guards against a request without a route because its host differs from the configured
// one in the case of letters or has a port.
TEST(route_table_test, the_host_is_compared_without_case_and_port)
{
    EXPECT_EQ(find_route_name("B.Example:80", "/x/1"), "b.example/x/");
    EXPECT_EQ(find_route_name("c.example", "/x/1"), "");
}

} // namespace
} // namespace curranthoist::deployment
