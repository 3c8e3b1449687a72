#include "curranthoist/ctl/document_check.hpp"
#include "curranthoist/ctl/unreadable_document.hpp"

#include <gtest/gtest.h>

#include <string>

namespace curranthoist::ctl {
namespace {

std::string document(unsigned version, const std::string& timeout = "300")
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"services":[{"name":"s","max_connections":26}],"routes":[{"name":"r",)"
           R"("host":"h","path_prefix":"/a/","route_kind":"safe","timeout_ms":)" +
           timeout + R"(,"service":"s"}]})";
}

std::string errors_of(const std::string& text)
{
    const configuration_report report = check_document("file", text);
    EXPECT_EQ(report.decoded.has_value(), report.errors.empty());
    return report.errors.str();
}

// Guards against warnings about a document that is in order.
TEST(document_check_test, a_good_document_has_no_findings)
{
    const configuration_report report = check_document("file", document(3));
    EXPECT_EQ(report.errors.str() + report.warnings.str(), "");
    ASSERT_TRUE(report.decoded);
    EXPECT_EQ(report.decoded->version, 3U);
}

// Guards against a check that passes what the core refuses.
TEST(document_check_test, errors_are_those_of_the_core)
{
    EXPECT_EQ(errors_of(document(3, "0")), "routes[0].timeout_ms: must be above 0\n");
}

// Guards against files that end the check instead of being reported.
TEST(document_check_test, odd_files_are_errors)
{
    constexpr std::size_t deep = 1'000'000;
    constexpr std::size_t beyond_the_core = std::size_t{7} * 1024 * 1024;
    std::string binary;
    for (int byte = 0; byte < 256; ++byte) {
        binary += static_cast<char>(byte);
    }
    for (const std::string& odd :
         {std::string(), std::string("version: 7"), std::string("[]"), std::string("7"),
          std::string(1000, '\0'), binary, std::string(deep, '['), document(3) + "}",
          document(3).substr(0, 100), "\xff\xfe" + document(3),
          R"({"version":1,"services":)" + std::string(deep, '[')}) {
        EXPECT_NE(errors_of(odd).find("body: is not a whole JSON object"),
                  std::string::npos)
            << odd.substr(0, 20);
    }
    EXPECT_NE(errors_of(std::string(beyond_the_core, ' ')).find("body: is longer than"),
              std::string::npos);
    EXPECT_NE(errors_of("{}"), "");
    EXPECT_NE(errors_of(R"({"version":1,"services":{"a":1},"routes":[7,null,"r"]})"), "");
}

// Guards against an operator who sends a version that the core acknowledges and ignores.
TEST(document_check_test, a_version_that_changes_nothing_is_a_warning)
{
    for (const unsigned version : {6U, 7U}) {
        configuration_report report = check_document("file", document(version));
        compare_documents(report, "in force", document(7, "400"));
        ASSERT_EQ(report.warnings.list().size(), 1U);
        EXPECT_EQ(report.warnings.list()[0].place, "version");
    }
    configuration_report higher = check_document("file", document(8));
    compare_documents(higher, "in force", document(7, "400"));
    EXPECT_TRUE(higher.warnings.empty());
    configuration_report same = check_document("file", document(7));
    compare_documents(same, "in force", document(7));
    EXPECT_TRUE(same.warnings.empty());
    EXPECT_TRUE(same.compared->changes.empty());
}

// Guards against a comparison with a document that can't be read, which would show every
// entry as added.
TEST(document_check_test, an_invalid_document_in_force_is_not_compared)
{
    configuration_report report = check_document("file", document(3));
    EXPECT_THROW(compare_documents(report, "other", "{}"), unreadable_document);
    EXPECT_THROW(compare_documents(report, "other", ""), unreadable_document);
    EXPECT_FALSE(report.compared);
}

} // namespace
} // namespace curranthoist::ctl
