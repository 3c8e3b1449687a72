#include "curranthoist/deployment/route_table.hpp"

#include <gtest/gtest.h>

namespace curranthoist::deployment {
namespace {

route route_at(const std::string& host, const std::string& prefix)
{
    route one;
    one.name = host + prefix;
    one.host = host;
    one.path_prefix = prefix;
    return one;
}

configuration sample()
{
    configuration result;
    result.routes = {route_at("a.example", "/"), route_at("a.example", "/x/"),
                     route_at("a.example", "/x/y/"), route_at("b.example", "/x/")};
    return result;
}

std::string found(std::string_view host, std::string_view path)
{
    const route_table table(sample());
    const route* one = table.find(host, path);
    return one == nullptr ? "" : one->name;
}

// Guards against a request that a shorter prefix takes from the route it belongs to.
TEST(route_table_test, the_longest_prefix_wins)
{
    EXPECT_EQ(found("a.example", "/x/y/z"), "a.example/x/y/");
    EXPECT_EQ(found("a.example", "/x/yz"), "a.example/x/");
    EXPECT_EQ(found("a.example", "/q"), "a.example/");
}

// Guards against prefixes that are compared without their slash: "/x/" is not in "/xy".
TEST(route_table_test, a_prefix_matches_whole_segments_only)
{
    EXPECT_EQ(found("b.example", "/xy/z"), "");
    EXPECT_EQ(found("b.example", "/x"), "");
    EXPECT_EQ(found("b.example", "/x/"), "b.example/x/");
}

// Guards against a query whose slashes are taken for path segments.
TEST(route_table_test, the_query_does_not_select_a_route)
{
    EXPECT_EQ(found("b.example", "/q?next=/x/"), "");
    EXPECT_EQ(found("a.example", "/x/q?a=/x/y/z"), "a.example/x/");
}

// Guards against hosts that differ only in case or name a port.
TEST(route_table_test, the_host_is_compared_without_case_and_port)
{
    EXPECT_EQ(found("B.Example:80", "/x/1"), "b.example/x/");
    EXPECT_EQ(found("c.example", "/x/1"), "");
}

} // namespace
} // namespace curranthoist::deployment
