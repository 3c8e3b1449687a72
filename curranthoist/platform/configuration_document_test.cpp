#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/platform/configuration_document.hpp"

#include <gtest/gtest.h>

#include <string>

namespace curranthoist::platform {
namespace {

std::string document(const std::string& routes)
{
    return R"({"version":7,"routes":[)" + routes +
           R"(],"services":[{"name":"s","health_check_path":"/h","max_connections":26,)"
           R"("cold_start_s":3.0,"cold_per_s":0.5},{"name":"t"}],)"
           R"("limits":{"max_body_bytes":1000,"idle_timeout_ms":15000}})";
}

std::string route(const std::string& rest, const std::string& prefix = "/a/",
                  const std::string& timeout = "300")
{
    return R"({"name":"r","host":"h","path_prefix":")" + prefix +
           R"(","route_kind":"safe","timeout_ms":)" + timeout +
           R"(,"target_latency_ms":60,"priority":2,"max_attempts":2,)" + rest + "}";
}

std::string findings_of(const std::string& text)
{
    try {
        decode_configuration(text);
    }
    catch (const base::findings_error& error) {
        return error.what();
    }
    return "";
}

// Guards against fields that are read into the wrong place or unit.
TEST(configuration_document_test, reads_routes_services_and_limits)
{
    const auto read = decode_configuration(
        document(route(R"("shard_services":["s","t"],"top_k":5,"min_shard_share":0.75)") +
                 "," + route(R"("service":"t")", "/b/")));
    EXPECT_EQ(read.version, 7U);
    ASSERT_EQ(read.routes.size(), 2U);
    EXPECT_TRUE(read.routes[0].gathers());
    EXPECT_EQ(read.routes[0].shards.size(), 2U);
    EXPECT_EQ(read.routes[0].top_records, 5U);
    EXPECT_EQ(read.routes[0].repeat, deployment::repeat_rule::repeatable);
    EXPECT_EQ(read.routes[0].time_limit, base::duration(300));
    EXPECT_EQ(read.routes[1].services,
              (std::vector<deployment::weighted_service>{{base::service_id("t"), 1.0}}));
    const auto& limits = read.services.at(base::service_id("s"));
    EXPECT_EQ(limits.max_connections, 26U);
    EXPECT_EQ(limits.cold_time, base::duration(3000));
    EXPECT_EQ(read.limits.max_body_bytes, 1000U);
}

// Guards against a kind that this deployment does not know and that is then repeated.
TEST(configuration_document_test, any_kind_but_the_safe_one_may_run_once_only)
{
    std::string text = document(route(R"("service":"s")"));
    text.replace(text.find("safe"), 4, "keyed");
    EXPECT_EQ(decode_configuration(text).routes[0].repeat,
              deployment::repeat_rule::at_most_once);
}

// Guards against an invalid configuration that ends each process which decodes it:
// copying a value takes a stack frame for each level of its nesting.
TEST(configuration_document_test, deep_nesting_is_a_finding)
{
    constexpr std::size_t depth = 1'000'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    for (const std::string& part :
         {R"("service":)" + deep, R"("shard_services":)" + deep,
          R"("traffic_split":[{"service":)" + deep + R"(,"weight":1}])",
          R"("service":"s","unknown":)" + deep}) {
        EXPECT_NE(findings_of(document(route(part))).find("body"), std::string::npos)
            << part.substr(0, 40);
    }
    EXPECT_NE(findings_of(deep).find("body"), std::string::npos);
}

// Guards against versions that a floating-point number would round.
TEST(configuration_document_test, a_large_version_is_read_exactly)
{
    std::string text = document(route(R"("service":"s")"));
    text.replace(text.find(":7"), 2, ":9007199254740993");
    EXPECT_EQ(decode_configuration(text).version, 9007199254740993U);
}

// Guards against an invalid configuration that is acknowledged.
TEST(configuration_document_test, refuses_what_is_invalid)
{
    EXPECT_NE(findings_of(document(route(R"("service":"s")")).substr(0, 80)), "");
    EXPECT_NE(findings_of("[]"), "");
    EXPECT_NE(findings_of(R"({"routes":[],"services":[]})"), "");
    EXPECT_NE(findings_of(document(route(R"("service":"unknown")"))), "");
    EXPECT_NE(findings_of(document(route(R"("shard_services":["s","unknown"])"))), "");
    EXPECT_NE(findings_of(
                  document(route(R"("service":"s")") + "," + route(R"("service":"t")"))),
              "");
    EXPECT_NE(
        findings_of(document(route(R"("traffic_split":[{"service":"s","weight":0}])"))),
        "");
    EXPECT_NE(findings_of(document(route(R"("service":"s")", "/a/", "0"))), "");
    EXPECT_NE(findings_of(document(route(R"("service":"s")", "a"))), "");
}

// Guards against a refusal that names one mistake at a time.
TEST(configuration_document_test, names_every_mistake_with_its_place)
{
    const std::string found = findings_of(document(route(R"("service":"x")", "/a/", "0") +
                                                   "," + route(R"("service":"y")")));
    EXPECT_NE(found.find("routes[0].timeout_ms"), std::string::npos);
    EXPECT_NE(found.find("routes[0].service"), std::string::npos);
    EXPECT_NE(found.find("routes[1].service"), std::string::npos);
    EXPECT_NE(found.find("routes[1].path_prefix"), std::string::npos);
}

// Guards against a number that is cut to the size of its type: 2 to the power of 32 was
// read as the highest priority.
TEST(configuration_document_test, ranks_beyond_their_type_are_findings)
{
    for (const char* const field : {"priority", "max_attempts"}) {
        const std::string text =
            document(R"({"name":"r","host":"h","path_prefix":"/a/","route_kind":"safe",)"
                     R"("timeout_ms":300,"service":"s",")" +
                     std::string(field) + R"(":4294967296})");
        EXPECT_NE(findings_of(text).find(field), std::string::npos) << field;
    }
}

std::string with_teams(const std::string& teams)
{
    const std::string text = document(route(R"("service":"s","public":true)"));
    return text.substr(0, text.size() - 1) + R"(,"tenants":[)" + teams + "]}";
}

// Guards against limits and keys that are read into the wrong place.
TEST(configuration_document_test, reads_teams)
{
    const auto read = decode_configuration(
        with_teams(R"({"name":"a","api_keys":["k1","k2"],"priority":1,"rate_per_s":17,)"
                   R"("burst":4.5},{"name":"b"})"));
    ASSERT_TRUE(read.teams);
    ASSERT_EQ(read.teams->size(), 2U);
    EXPECT_EQ(read.teams->at(0), (deployment::team{"a", {"k1", "k2"}, 1, 17, 4.5}));
    EXPECT_EQ(read.teams->at(1), (deployment::team{"b", {}, 0, 0, 0}));
    EXPECT_FALSE(read.teams->at(1).is_limited());
    EXPECT_TRUE(read.routes[0].is_public);
    EXPECT_TRUE(decode_teams(document(route(R"("service":"s")"))).empty());
}

// Guards against an empty list of teams that is read as none, so that every request is
// admitted without a key.
TEST(configuration_document_test, an_empty_list_of_teams_is_told_from_an_absent_one)
{
    const auto emptied = decode_configuration(with_teams(""));
    ASSERT_TRUE(emptied.teams);
    EXPECT_TRUE(emptied.teams->empty());
    EXPECT_FALSE(decode_configuration(document(route(R"("service":"s")"))).teams);
}

// Guards against a null that is read as an absent list: writers that mean an empty list
// send it.
TEST(configuration_document_test, a_null_list_of_teams_is_a_finding)
{
    const std::string text = document(route(R"("service":"s")"));
    EXPECT_NE(findings_of(text.substr(0, text.size() - 1) + R"(,"tenants":null})")
                  .find("tenants"),
              std::string::npos);
}

// Guards against limits that the fronts read and the leader does not, because it looks
// for the field's name only as it is usually spelled.
TEST(configuration_document_test, teams_under_an_escaped_name_are_read_alike)
{
    std::string text = with_teams(R"({"name":"a","api_keys":["k"],"rate_per_s":5})");
    const std::string plain = "\"tenants\"";
    text.replace(text.find(plain), plain.size(), "\"\\u0074enants\"");
    ASSERT_TRUE(decode_configuration(text).teams);
    EXPECT_EQ(decode_teams(text), *decode_configuration(text).teams);
}

// Guards against a key whose requests could run for either of two teams, and against keys
// in findings, which are logged.
TEST(configuration_document_test, a_key_of_two_teams_is_a_finding_that_does_not_name_it)
{
    const std::string found = findings_of(with_teams(
        R"({"name":"a","api_keys":["secret"]},{"name":"b","api_keys":["secret"]})"));
    EXPECT_NE(found.find("tenants[1].api_keys"), std::string::npos) << found;
    EXPECT_EQ(found.find("secret"), std::string::npos);
    EXPECT_NE(findings_of(with_teams(R"({"name":"a"},{"name":"a"})")), "");
    EXPECT_NE(findings_of(with_teams(R"({"name":"a","api_keys":[""]})")), "");
    EXPECT_NE(findings_of(with_teams(R"({"name":"a","api_keys":[7]})")), "");
    EXPECT_NE(findings_of(with_teams("7")), "");
}

} // namespace
} // namespace curranthoist::platform
