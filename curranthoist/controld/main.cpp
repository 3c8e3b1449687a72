#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/controld/command_line.hpp"
#include "curranthoist/controld/control_process.hpp"
#include "curranthoist/settings/control_settings.hpp"

#include <ev++.h>

#include <csignal>
#include <exception>
#include <iostream>

namespace {

using namespace curranthoist;

constexpr int bad_settings = 2;
constexpr int bad_data_folder = 3;

controld::start_mode mode_of(const controld::command_line& line)
{
    if (line.init_cluster) {
        return controld::start_mode::new_cluster;
    }
    return line.init_replacement ? controld::start_mode::replacement
                                 : controld::start_mode::existing;
}

// Ends the process gracefully on a signal.
class signal_stop
{
public:
    signal_stop(ev::loop_ref loop, controld::control_process& process)
        : process_(process)
        , terminate_(loop)
        , interrupt_(loop)
    {
        terminate_.set<signal_stop, &signal_stop::on_signal>(this);
        terminate_.start(SIGTERM);
        interrupt_.set<signal_stop, &signal_stop::on_signal>(this);
        interrupt_.start(SIGINT);
    }

private:
    void on_signal(ev::sig& /*watcher*/, int /*events*/)
    {
        base::logger("control").info("stopping after a signal");
        process_.stop();
    }

    controld::control_process& process_;
    ev::sig terminate_;
    ev::sig interrupt_;
};

int run(const settings::control_settings& settings, controld::start_mode mode)
{
    ev::default_loop loop;
    try {
        controld::control_process process(loop, settings, mode);
        const signal_stop stop(loop, process);
        loop.run(0);
        return 0;
    }
    catch (const base::findings_error& error) {
        std::cerr << error.what();
        return bad_data_folder;
    }
}

} // namespace

int main(int argc, char** argv)
{
    int exit_status = 0;
    const auto line = controld::read_command_line(argc, argv, exit_status);
    if (!line) {
        return exit_status;
    }
    try {
        const auto settings = settings::read_control_settings(line->settings_file);
        if (line->check_settings) {
            return 0;
        }
        base::configure_logging(settings.log_level);
        return run(settings, mode_of(*line));
    }
    catch (const base::findings_error& error) {
        std::cerr << error.what();
        return bad_settings;
    }
    catch (const std::exception& error) {
        std::cerr << "curranthoist-control: " << error.what() << "\n";
        return 1;
    }
}
