#include "curranthoist/base/exit_status.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/entry/entry_process.hpp"
#include "curranthoist/settings/entry_settings.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <string>

namespace {

using namespace curranthoist;

constexpr const char* exit_code_help =
    "Exit codes:\n"
    "  0  stopped gracefully, or the settings are valid\n"
    "  1  unexpected error\n"
    "  2  wrong command line\n"
    "  3  the settings have mistakes; each is printed as file:line:column: text\n"
    "  4  a listen address can't be bound\n"
    "  5  the stop limit passed before the stop was finished\n"
    "Signals: SIGTERM and SIGINT start a graceful stop.";

struct arguments
{
    std::string settings_file;
    bool check_only = false;
};

int serve(const arguments& given)
{
    const settings::entry_settings settings =
        settings::read_entry_settings(given.settings_file);
    if (given.check_only) {
        std::puts("settings are valid");
        return base::exit_ok;
    }
    base::configure_logging(settings.log_level);
    entry::entry_process process(settings);
    return process.run() ? base::exit_ok : base::exit_stop_limit;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Serves callers' queries and orders on one entry VM.",
                 "curranthoist-entry");
    arguments given;
    app.add_option("--settings", given.settings_file, "TOML file with the settings")
        ->required();
    app.add_flag("--check-settings", given.check_only, "Check the settings and exit");
    app.set_version_flag("--version", "curranthoist-entry " CURRANTHOIST_VERSION);
    app.footer(exit_code_help);
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? base::exit_ok : base::exit_usage;
    }
    return base::status_of([&] { return serve(given); });
}
