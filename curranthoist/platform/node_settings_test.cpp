#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/platform/node_settings.hpp"

#include <gtest/gtest.h>

#include <string>

namespace curranthoist::platform {
namespace {

const std::string sample = "node_name=front-a-1\n"
                           "zone=a\n"
                           "ip_address=10.1.0.6\n"
                           "listen_addresses.front=10.1.0.6:8104\n"
                           "internal_port_range=7380,7395\n"
                           "seed_nodes=10.1.0.6:8106,10.2.0.27:8106\n"
                           "first_start=true\n"
                           "data_directory=/data/core\n"
                           "bounds.retry_budget_ratio=0.2\n"
                           "bounds.grace_period_s=6\n"
                           "bounds.rollback_ms=2500\n"
                           "bounds.contact_ms=4500\n"
                           "cloud_api.duties=\n"
                           "a.field.of.tomorrow=x\n";

std::string findings_of(const std::string& text)
{
    try {
        parse_node_settings(text, "settings.conf");
    }
    catch (const base::findings_error& error) {
        return error.what();
    }
    return "";
}

// Guards against settings that are read into the wrong field or unit.
TEST(node_settings_test, reads_what_the_platform_writes)
{
    const node_settings settings = parse_node_settings(sample, "settings.conf");
    EXPECT_EQ(settings.name, "front-a-1");
    EXPECT_EQ(settings.zone, base::zone_id("a"));
    EXPECT_EQ(settings.callers, (base::endpoint{"10.1.0.6", 8104}));
    EXPECT_FALSE(settings.operators);
    EXPECT_EQ(settings.first_internal_port, 7380);
    ASSERT_EQ(settings.seeds.size(), 2U);
    EXPECT_EQ(settings.seeds[1], (base::endpoint{"10.2.0.27", 8106}));
    EXPECT_TRUE(settings.founds_deployment);
    EXPECT_EQ(settings.stop_limit, base::duration(6000));
    EXPECT_EQ(settings.rollback_limit, base::duration(2500));
    EXPECT_EQ(settings.contact_limit, base::duration(4500));
    EXPECT_DOUBLE_EQ(settings.extra_ratio, 0.2);
}

// Guards against a start with half of the settings.
TEST(node_settings_test, every_mistake_is_reported_with_its_line)
{
    const std::string found = findings_of("zone=a\n"
                                          "ip_address=10.1.0.6\n"
                                          "internal_port_range=0,5\n"
                                          "seed_nodes=10.1.0.6\n"
                                          "first_start=maybe\n"
                                          "no equals sign\n"
                                          "bounds.retry_budget_ratio=-1\n");
    EXPECT_NE(found.find("'node_name' is missing"), std::string::npos);
    EXPECT_NE(found.find("settings.conf:3"), std::string::npos);
    EXPECT_NE(found.find("settings.conf:4"), std::string::npos);
    EXPECT_NE(found.find("settings.conf:5"), std::string::npos);
    EXPECT_NE(found.find("settings.conf:6"), std::string::npos);
    EXPECT_NE(found.find("settings.conf:7"), std::string::npos);
}

// Guards against a file that can't be read and passes for an empty one.
TEST(node_settings_test, a_missing_file_is_a_finding)
{
    EXPECT_THROW(read_node_settings("/nonexistent/settings.conf"), base::findings_error);
}

} // namespace
} // namespace curranthoist::platform
