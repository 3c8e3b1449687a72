#include "curranthoist/platform/operator_call.hpp"

#include <gtest/gtest.h>

namespace curranthoist::platform {
namespace {

// Guards against an order that is taken for another one.
TEST(operator_call_test, reads_every_call)
{
    EXPECT_TRUE(std::holds_alternative<replace_configuration_call>(
        decode_operator_call("POST", "/v1/configuration/replace")));
    EXPECT_TRUE(std::holds_alternative<read_configuration_call>(
        decode_operator_call("GET", "/v1/configuration/get?x=1")));
    const auto start = decode_operator_call("POST", "/v1/evacuation/ba/start");
    ASSERT_TRUE(std::holds_alternative<evacuation_call>(start));
    EXPECT_EQ(std::get<evacuation_call>(start).zone, base::zone_id("ba"));
    EXPECT_TRUE(std::get<evacuation_call>(start).start);
    const auto end = decode_operator_call("POST", "/v1/evacuation/ba/end");
    ASSERT_TRUE(std::holds_alternative<evacuation_call>(end));
    EXPECT_FALSE(std::get<evacuation_call>(end).start);
    EXPECT_TRUE(std::holds_alternative<start_rollout_call>(
        decode_operator_call("POST", "/v1/rollouts/start")));
    const auto read = decode_operator_call("GET", "/v1/rollouts/huvo11a/get");
    ASSERT_TRUE(std::holds_alternative<read_rollout_call>(read));
    EXPECT_EQ(std::get<read_rollout_call>(read).service, base::service_id("huvo11a"));
}

// Guards against an order that is guessed from half of a path.
TEST(operator_call_test, anything_else_is_unknown)
{
    for (const char* const path :
         {"/v1/evacuation//start", "/v1/evacuation/a/b/start", "/v1/evacuation/a",
          "/v1/configuration", "/", "/v1/rollouts/s/get", "/v1/rollouts/s/start"}) {
        EXPECT_TRUE(
            std::holds_alternative<unknown_call>(decode_operator_call("POST", path)))
            << path;
    }
    EXPECT_TRUE(std::holds_alternative<unknown_call>(
        decode_operator_call("GET", "/v1/evacuation/ba/start")));
    for (const char* const path :
         {"/v1/rollouts/start", "/v1/rollouts//get", "/v1/rollouts/get",
          "/v1/rollouts/a/b/get", "/v1/rollouts/a"}) {
        EXPECT_TRUE(
            std::holds_alternative<unknown_call>(decode_operator_call("GET", path)))
            << path;
    }
}

} // namespace
} // namespace curranthoist::platform
