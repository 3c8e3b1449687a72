#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/settings/control_settings.hpp"
#include "curranthoist/settings/entry_settings.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace curranthoist::settings {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

// The lines of the findings that `parse` throws.
template <class Parse>
std::vector<std::string> lines_of(Parse parse)
{
    std::vector<std::string> lines;
    try {
        parse();
    }
    catch (const base::findings_error& error) {
        for (const base::finding& one : error.found().list()) {
            lines.push_back(one.place + ": " + one.text);
        }
    }
    return lines;
}

std::vector<std::string> entry_mistakes(std::string_view text)
{
    return lines_of([&] { parse_entry_settings(text, "e.toml"); });
}

std::vector<std::string> control_mistakes(std::string_view text)
{
    return lines_of([&] { parse_control_settings(text, "c.toml"); });
}

// Guards against a reader that stops at the first mistake, or loses a mistake's place.
TEST(settings_test, reports_five_mistakes_of_a_file_together_with_their_places)
{
    const std::vector<std::string> found = entry_mistakes(R"(vm = 7
zone = "Nadi"
contrl = ["127.0.0.1:7101"]
[listen]
callers = "127.0.0.1"
peers = "127.0.0.1:7001"
[limits]
idle_limit_s = 0
)");
    EXPECT_THAT(found,
                ElementsAre("e.toml:1:1: missing key 'control'",
                            "e.toml:1:6: 'vm' must be a text",
                            "e.toml:3:1: unknown key 'contrl'; did you mean 'control'?",
                            "e.toml:5:11: 'listen.callers' must be an IPv4 address and a "
                            "port, not \"127.0.0.1\"",
                            "e.toml:8:16: 'limits.idle_limit_s' must be from 1 to 3600"));
}

// Guards against a stop that cuts the longest request, and against a silent typing error
// in a policy's name.
TEST(settings_test, rejects_contradictions_and_unknown_policies)
{
    const std::vector<std::string> found = entry_mistakes(R"(vm = "a"
zone = "Nadi"
control = ["127.0.0.1:7101"]
balancer_delay_ms = 1000
stop_limit_ms = 3000
[listen]
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7001"
[limits]
max_deadline_ms = 2000
[policies]
replica_choice = "two choices"
hedging = "yes"
)");
    EXPECT_THAT(found, ElementsAre(HasSubstr("e.toml:5:17: 'stop_limit_ms' must be"),
                                   HasSubstr("e.toml:8:9: 'listen.peers' must differ"),
                                   HasSubstr("e.toml:12:18: 'policies.replica_choice'"),
                                   HasSubstr("e.toml:13:11: 'policies.hedging'")));
}

TEST(settings_test, reports_a_syntax_error_with_its_place)
{
    EXPECT_THAT(entry_mistakes("vm = \"a\"\nzone =\n"),
                ElementsAre(HasSubstr("e.toml:2:")));
}

TEST(settings_test, reports_a_file_that_cannot_be_read)
{
    EXPECT_THAT(lines_of([] { read_entry_settings("/nonexistent/e.toml"); }),
                ElementsAre("/nonexistent/e.toml: cannot be read"));
}

// Guards against two initial members that would vote as one.
TEST(settings_test, reports_mistakes_in_the_member_list)
{
    const std::vector<std::string> found = control_mistakes(R"(name = "c1"
data_folder = ""
[listen]
peers = "127.0.0.1:1"
operators = "127.0.0.1:2"
[[members]]
name = "c1"
peer_address = "127.0.0.1:1"
operators_address = "127.0.0.1:2"
[[members]]
name = "c1"
peer_adress = "127.0.0.1:1"
operators_address = "127.0.0.1:2"
)");
    EXPECT_THAT(found,
                ElementsAre(HasSubstr("c.toml:2:15: 'data_folder' must not be empty"),
                            HasSubstr("c.toml:10:1: missing key 'members.peer_address'"),
                            HasSubstr("c.toml:11:8: member \"c1\" appears twice"),
                            HasSubstr("c.toml:12:1: unknown key 'members.peer_adress'; "
                                      "did you mean 'peer_address'?")));
}

TEST(settings_test, reads_the_example_files)
{
    const std::string folder = EXAMPLES_FOLDER;
    const entry_settings entry = read_entry_settings(folder + "/entry.toml");
    EXPECT_EQ(entry.vm.str(), "vaka-entry-1");
    EXPECT_EQ(entry.control.size(), 3U);
    EXPECT_EQ(entry.limits.idle_limit, base::duration(30000));
    const control_settings control = read_control_settings(folder + "/control.toml");
    EXPECT_EQ(control.members.at(2).operators_address.port, 8103);
}

} // namespace
} // namespace curranthoist::settings
