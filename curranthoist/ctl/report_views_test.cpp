#include "curranthoist/ctl/document_check.hpp"
#include "curranthoist/ctl/report_views.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>

namespace curranthoist::ctl {
namespace {

std::string document(unsigned version, const std::string& name, const std::string& keys)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"services":[{"name":"s","max_connections":26}],"routes":[{"name":")" +
           name +
           R"(","host":"h","path_prefix":"/a/","route_kind":"safe","timeout_ms":300,)"
           R"("service":"s"}],"tenants":[{"name":"t","api_keys":[)" +
           keys + "]}]}";
}

configuration_report compared()
{
    configuration_report report =
        check_document("new.json", document(8, "r\\u001b[31m\\u009b", R"("k-b","k-c")"));
    compare_documents(report, "old.json", document(7, "r", R"("k-a")"));
    return report;
}

// Guards against keys in the output, and against names that control the terminal.
TEST(report_views_test, text_shows_neither_keys_nor_control_characters)
{
    std::ostringstream out;
    print_report_text(out, compared());
    EXPECT_EQ(out.str(), "version 7 (old.json) -> 8\n"
                         "removed route 'r'\n"
                         "added route 'r?[31m?'\n"
                         "changed team 't'\n"
                         "    keys: 2 added, 1 withdrawn\n"
                         "new.json: 0 errors, 0 warnings, 3 changes\n");
}

// Guards against JSON that scripts can't rely on, and against keys in it.
TEST(report_views_test, json_has_the_same_content)
{
    const nlohmann::json result = report_json(compared());
    EXPECT_EQ(result.at("errors"), nlohmann::json::array());
    EXPECT_EQ(result.at("against").at("version"), 7);
    ASSERT_EQ(result.at("against").at("changes").size(), 3U);
    EXPECT_EQ(result.at("against").at("changes")[2].at("keys_added"), 2);
    EXPECT_EQ(result.dump().find("k-"), std::string::npos);
}

// Guards against errors without their places.
TEST(report_views_test, errors_are_shown_with_their_places)
{
    std::ostringstream out;
    print_report_text(out, check_document("new.json", "{}"));
    EXPECT_NE(out.str().find("error: version: must be a whole number"),
              std::string::npos);
    EXPECT_FALSE(report_json(check_document("n", "{}")).contains("against"));
}

} // namespace
} // namespace curranthoist::ctl
