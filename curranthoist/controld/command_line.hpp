#pragma once

#include <optional>
#include <string>

namespace curranthoist::controld {

// What the command line of curranthoist-control says.
struct command_line
{
    std::string settings_file;
    bool check_settings = false;
    // The first start of a member of a new deployment.
    bool init_cluster = false;
    // The first start of a member that replaces one whose disk is lost.
    bool init_replacement = false;
};

// Reads the command line. Returns nothing, and sets `exit_status`, if the program has to
// end at once: after --help, --version or a mistake, which are printed.
std::optional<command_line> read_command_line(int argc, char** argv, int& exit_status);

} // namespace curranthoist::controld
