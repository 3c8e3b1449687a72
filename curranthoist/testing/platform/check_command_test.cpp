#include "curranthoist/testing/platform/platform_fixture.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace curranthoist::testing {
namespace {

class check_command_test : public platform_fixture
{
protected:
    std::string write(const std::string& name, const std::string& text)
    {
        std::string path = folder() + "/" + name;
        std::ofstream(path) << text;
        return path;
    }
    // Runs curranthoist-ctl; sets what it printed.
    int run(const std::vector<std::string>& arguments)
    {
        child_process& program = start("curranthoist-ctl", arguments);
        const auto code = program.wait_for_exit();
        printed_ = program.output();
        return code.value_or(-1);
    }

    std::string printed_;
};

// Guards against exit codes that scripts can't tell apart.
TEST_F(check_command_test, exit_codes_tell_errors_from_unreadable_files)
{
    const std::string good = write("good.json", configuration(7).dump());
    nlohmann::json odd = configuration(8);
    odd["services"].push_back({{"name", "unused"}, {"max_connections", 26}});
    const std::string warned = write("warned.json", odd.dump());
    const std::string bad = write("bad.json", configuration(7, 0).dump());
    EXPECT_EQ(run({"check", good}), 0) << printed_;
    EXPECT_EQ(run({"check", warned, "--against", good}), 0) << printed_;
    EXPECT_NE(printed_.find("warning: services[3]: "), std::string::npos) << printed_;
    EXPECT_NE(printed_.find("added service 'unused'"), std::string::npos) << printed_;
    EXPECT_EQ(run({"check", bad}), 8) << printed_;
    EXPECT_NE(printed_.find("error: routes[0].timeout_ms: "), std::string::npos);
    EXPECT_EQ(run({"check", write("empty.json", "")}), 8) << printed_;
    EXPECT_EQ(run({"check", folder()}), 9) << printed_;
    EXPECT_EQ(run({"check", good, "--against", bad}), 9) << printed_;
    EXPECT_EQ(run({"check", good, "--against", good, "--control", "127.0.0.1:1"}), 2);
    EXPECT_EQ(run({"check"}), 2);
    EXPECT_EQ(run({"--json", "check", bad}), 8);
    EXPECT_EQ(nlohmann::json::parse(printed_).at("errors").size(), 3U) << printed_;
}

// Guards against a comparison that fails at members that don't lead: they redirect.
TEST_F(check_command_test, the_configuration_in_force_is_read_from_any_member)
{
    add_vms(3);
    start_all();
    ASSERT_TRUE(replace(configuration(7, 2000)));
    const std::string file = write("next.json", configuration(9, 1500).dump());
    for (const std::string& vm : vms_) {
        const std::string control = vm + ":" + std::to_string(operators_port);
        EXPECT_EQ(run({"--control", control, "check", file}), 0) << printed_;
        EXPECT_NE(printed_.find("version 7 (in force) -> 9\nchanged route 'lookup'\n"
                                "    timeout_ms: 2000 ms -> 1500 ms\n"),
                  std::string::npos)
            << printed_;
    }
    EXPECT_EQ(run({"--control", list_, "check", file}), 9) << printed_;
}

} // namespace
} // namespace curranthoist::testing
