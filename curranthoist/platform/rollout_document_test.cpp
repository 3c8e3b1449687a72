#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/platform/rollout_document.hpp"

#include <gtest/gtest.h>

namespace curranthoist::platform {
namespace {

// Guards against an order that is read into the wrong fields or unit.
TEST(rollout_document_test, reads_an_order)
{
    const auto order = decode_rollout_order(
        R"({"service":"huvo11a","target_version":"v2","duration_s":12.5,"x":[1]})");
    EXPECT_EQ(order.service, base::service_id("huvo11a"));
    EXPECT_EQ(order.target_version, "v2");
    EXPECT_EQ(order.duration, base::duration(12'500));
}

// Guards against an order without a target or a deadline that is carried out.
TEST(rollout_document_test, refuses_bad_orders)
{
    for (const char* const body :
         {"", "[]", "7", R"({"service":"s","target_version":"v2"})",
          R"({"service":"s","target_version":"v2","duration_s":0})",
          R"({"service":"s","target_version":"v2","duration_s":-1})",
          R"({"service":"s","target_version":"v2","duration_s":1e300})",
          R"({"service":"s","target_version":"v2","duration_s":"12"})",
          R"({"service":"s","target_version":"","duration_s":12})",
          R"({"service":"s","target_version":"v 2","duration_s":12})",
          R"({"service":5,"target_version":"v2","duration_s":12})",
          R"({"target_version":"v2","duration_s":12})"}) {
        EXPECT_THROW(decode_rollout_order(body), base::findings_error) << body;
    }
}

// Guards against a state that operators can't tell from another one.
TEST(rollout_document_test, writes_every_phase)
{
    deployment::rollout value;
    value.target_version = "v2";
    EXPECT_EQ(encode_rollout_state(value),
              R"({"state":"running","target_version":"v2"})");
    value.phase = deployment::rollout_phase::completed;
    EXPECT_EQ(encode_rollout_state(value),
              R"({"state":"completed","target_version":"v2"})");
    value.phase = deployment::rollout_phase::rolled_back;
    EXPECT_EQ(encode_rollout_state(value),
              R"({"state":"rolled_back","target_version":"v2"})");
}

} // namespace
} // namespace curranthoist::platform
