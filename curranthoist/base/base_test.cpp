#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/manual_clock.hpp"
#include "curranthoist/base/random_source.hpp"

#include <gtest/gtest.h>

namespace curranthoist::base {
namespace {

using namespace literals;

TEST(instant_test, arithmetic_keeps_milliseconds)
{
    manual_clock clock;
    const instant start = clock.now();
    clock.advance(2_s + 5_ms);
    EXPECT_EQ(clock.now() - start, 2005_ms);
}

TEST(findings_test, all_mistakes_are_reported_together)
{
    findings found;
    found.add("a.toml:1:1", "first");
    found.add("a.toml:2:1", "second");
    try {
        found.throw_if_any();
        FAIL() << "no error was thrown";
    }
    catch (const findings_error& error) {
        EXPECT_STREQ(error.what(), "a.toml:1:1: first\na.toml:2:1: second\n");
    }
}

TEST(endpoint_test, refuses_text_that_is_no_address_and_port)
{
    for (const char* text : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000",
                             "host:80", "10.0.0.1:80x", "10.0.0:80"}) {
        EXPECT_FALSE(endpoint::parse(text)) << text;
    }
    EXPECT_EQ(endpoint::parse("10.0.0.1:80")->str(), "10.0.0.1:80");
}

TEST(counter_registry_test, prints_families_in_prometheus_format)
{
    counter_registry registry;
    registry.counter_named("parts_total", "Parts", "result=\"ok\"").add(2);
    registry.gauge_named("open", "Open").set(3);
    EXPECT_EQ(registry.prometheus_text(),
              "# HELP open Open\n# TYPE open gauge\nopen 3\n"
              "# HELP parts_total Parts\n# TYPE parts_total counter\n"
              "parts_total{result=\"ok\"} 2\n");
}

// Guards against a histogram whose buckets don't add up, which misleads every quantile.
TEST(counter_registry_test, prints_histograms_with_cumulative_buckets)
{
    counter_registry registry;
    latency_histogram& took = registry.histogram_named("took_ms", "Time", "route=\"r\"");
    took.add(duration(5));
    took.add(duration(6));
    took.add(duration(9000));
    const std::string text = registry.prometheus_text();
    EXPECT_NE(text.find("# TYPE took_ms histogram\n"), std::string::npos);
    EXPECT_NE(text.find("took_ms_bucket{route=\"r\",le=\"5\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("took_ms_bucket{route=\"r\",le=\"10\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("took_ms_bucket{route=\"r\",le=\"8000\"} 2\n"),
              std::string::npos);
    EXPECT_NE(text.find("took_ms_bucket{route=\"r\",le=\"+Inf\"} 3\n"),
              std::string::npos);
    EXPECT_NE(text.find("took_ms_sum{route=\"r\"} 9011\n"), std::string::npos);
    EXPECT_NE(text.find("took_ms_count{route=\"r\"} 3\n"), std::string::npos);
}

TEST(random_source_test, same_seed_gives_same_sequence)
{
    random_source a(7);
    random_source b(7);
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(a.between(-3, 9), b.between(-3, 9));
    }
}

} // namespace
} // namespace curranthoist::base
