#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/ctl/story.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace curranthoist::ctl {
namespace {

// Guards against lines of another request whose id begins alike, or that name the id in
// another field.
TEST(story_test, only_lines_of_the_request_are_found)
{
    std::istringstream log(
        "time=2026-02-04 21:49:54,050 level=INFO part=request event=sent id=ab12 x=1\n"
        "time=2026-02-04 21:49:54,051 level=INFO part=request event=sent id=ab123\n"
        "time=2026-02-04 21:49:54,052 level=INFO part=request event=x grid=ab12\n"
        "time=2026-02-04 21:49:54,053 level=INFO part=request event=end id=ab12\n");
    const auto lines = lines_about(log, "vm-1.log", "ab12");
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines[0].time, "time=2026-02-04 21:49:54,050");
    EXPECT_NE(lines[1].text.find("event=end"), std::string::npos);
}

// Guards against a story that leaves out a VM whose log is missing.
TEST(story_test, a_file_that_cannot_be_read_is_reported)
{
    std::ostringstream out;
    EXPECT_THROW(print_story(out, {"/nonexistent.log"}, "ab12"), base::findings_error);
}

} // namespace
} // namespace curranthoist::ctl
