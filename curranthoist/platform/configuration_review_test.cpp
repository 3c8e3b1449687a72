#include "curranthoist/platform/configuration_document.hpp"
#include "curranthoist/platform/configuration_review.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace curranthoist::platform {
namespace {

std::vector<std::string> places_in(const std::string& document)
{
    std::vector<std::string> result;
    const auto found = review_configuration(document, decode_configuration(document));
    for (const base::finding& one : found.list()) {
        result.push_back(one.place);
    }
    return result;
}

// Guards against warnings whose places don't lead to the entry in the operator's file:
// the decoded configuration holds services by name, the file as a list.
TEST(configuration_review_test, places_are_those_of_the_document)
{
    const std::string document = R"({"version": 3,
        "services": [{"name": "z", "max_connections": 26},
                     {"name": "a", "max_connections": 0},
                     {"name": "b", "max_connections": 26}],
        "routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "route_kind": "safe",
                    "timeout_ms": 100, "target_latency_ms": 200, "traffic_split":
                    [{"service": "z", "weight": 1}, {"service": "a", "weight": 0},
                     {"service": "z", "weight": 2}]},
                   {"name": "q", "host": "h", "path_prefix": "/q/", "route_kind": "safe",
                    "timeout_ms": 100, "shard_services": ["a", "a"],
                    "min_shard_share": 2}],
        "tenants": [{"name": "t", "rate_per_s": 5}],
        "limits": {"header_timeout_ms": 20000}})";
    EXPECT_EQ(places_in(document),
              (std::vector<std::string>{
                  "routes[0].timeout_ms", "routes[0].traffic_split[1].weight",
                  "routes[0].traffic_split[2].service", "routes[1].shard_services[1]",
                  "routes[1].top_k", "routes[1].min_shard_share",
                  "services[1].max_connections", "services[2]", "tenants[0].api_keys",
                  "tenants[0].burst", "limits.header_timeout_ms"}));
}

// Guards against a service whose first entry is ignored without a word.
TEST(configuration_review_test, a_service_that_is_listed_twice_is_told)
{
    const std::string document = R"({"version": 3, "services":
        [{"name": "a", "max_connections": 9}, {"name": "a", "max_connections": 1}],
        "routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "route_kind": "safe",
                    "timeout_ms": 100, "service": "a"}]})";
    EXPECT_EQ(places_in(document),
              (std::vector<std::string>{"services[0]", "services[1].max_connections"}));
}

// Guards against a route whose requests go elsewhere than one of its fields says.
TEST(configuration_review_test, a_destination_that_is_passed_over_is_told)
{
    const std::string document = R"({"version": 3, "services":
        [{"name": "a", "max_connections": 9}, {"name": "b", "max_connections": 9}],
        "routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "route_kind": "safe",
                    "timeout_ms": 100, "service": "b", "traffic_split": null,
                    "shard_services": ["a"], "top_k": 5}]})";
    EXPECT_EQ(places_in(document),
              (std::vector<std::string>{"routes[0].service", "services[1]"}));
}

} // namespace
} // namespace curranthoist::platform
