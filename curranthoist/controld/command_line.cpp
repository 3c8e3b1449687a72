#include "curranthoist/controld/command_line.hpp"

#include <CLI/CLI.hpp>

namespace curranthoist::controld {

std::optional<command_line> read_command_line(int argc, char** argv, int& exit_status)
{
    CLI::App app("A control process of curranthoist: one member of the replicated log.",
                 "curranthoist-control");
    command_line result;
    app.add_option("--settings", result.settings_file, "Settings file (TOML)")
        ->required();
    app.add_flag("--check-settings", result.check_settings,
                 "Report every mistake in the settings and end");
    auto* cluster = app.add_flag("--init-cluster", result.init_cluster,
                                 "First start of a member of a new deployment");
    app.add_flag("--init-replacement", result.init_replacement,
                 "First start of a member that replaces another one")
        ->excludes(cluster);
    app.set_version_flag("--version", CURRANTHOIST_VERSION);
    app.footer("Exit status: 0 after SIGTERM or a check without mistakes, 2 for mistakes "
               "in the command line or the settings, 3 if the data folder can't be used, "
               "1 for other errors.");
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        constexpr int usage = 2;
        exit_status = app.exit(error) == 0 ? 0 : usage;
        return std::nullopt;
    }
    return result;
}

} // namespace curranthoist::controld
