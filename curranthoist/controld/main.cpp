#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/controld/command_line.hpp"
#include "curranthoist/controld/control_service.hpp"
#include "curranthoist/controld/entry_acceptor.hpp"
#include "curranthoist/controld/memory_log.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/settings/control_settings.hpp"

#include <ev++.h>

#include <csignal>
#include <iostream>
#include <utility>

namespace {

using namespace curranthoist;

using log_type = controld::memory_log<controld::applied_state>;
using service_type = controld::control_service<log_type, controld::entry_session>;

// Longer than a create_service intent with the design size's 4,500 targets.
constexpr std::size_t max_operator_body_bytes = std::size_t{4} * 1024 * 1024;

controld::members_view members_of(const settings::control_settings& settings)
{
    controld::members_view view;
    view.self = settings.name.str();
    view.leader = view.self;
    view.leader_operators_address = settings.operators.str();
    view.members.push_back({view.self, settings.peers.str(), "voter", 0});
    return view;
}

void stop_loop(ev::sig& watcher, int /*events*/)
{
    base::logger("control").info("stopping after a signal");
    watcher.loop.break_loop(ev::ALL);
}

void run(const settings::control_settings& settings)
{
    ev::default_loop loop;
    controld::applied_state machine;
    log_type log(loop, machine);
    service_type service(loop, machine, log,
                         [&settings] { return members_of(settings); });
    controld::entry_acceptor sessions(
        loop, settings.peers, settings.name.str(),
        [&service](std::unique_ptr<controld::entry_session> session,
                   const wire::hello& hello) {
            service.on_entry(std::move(session), hello);
        });
    http::caller_server server(
        loop, {.listen = settings.operators, .max_body_bytes = max_operator_body_bytes},
        [&service](const http::caller_request& request, http::responder answer) {
            service.on_request(request, std::move(answer));
        });
    ev::sig terminate(loop);
    terminate.set<stop_loop>();
    terminate.start(SIGTERM);
    ev::sig interrupt(loop);
    interrupt.set<stop_loop>();
    interrupt.start(SIGINT);
    service.on_leadership(true);
    loop.run(0);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int bad_settings = 2;
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
        run(settings);
        return 0;
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
