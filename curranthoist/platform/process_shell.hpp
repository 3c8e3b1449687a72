#pragma once

#include "curranthoist/base/exit_status.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/http/metrics_server.hpp"
#include "curranthoist/platform/large_buffers.hpp"
#include "curranthoist/platform/node_settings.hpp"

#include <CLI/CLI.hpp>
#include <ev++.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>

namespace curranthoist::platform {

// Name and purpose of a program, for its command line.
struct program_description
{
    std::string name;
    std::string purpose;
};

namespace internal {

// Turns signals into calls: SIGTERM and SIGINT stop the process, SIGHUP reloads.
template <class Process>
class signal_handlers
{
public:
    signal_handlers(ev::loop_ref loop, Process& process, std::string file)
        : process_(process)
        , file_(std::move(file))
        , terminate_(loop)
        , interrupt_(loop)
        , reload_(loop)
    {
        terminate_.set<signal_handlers, &signal_handlers::on_stop>(this);
        terminate_.start(SIGTERM);
        interrupt_.set<signal_handlers, &signal_handlers::on_stop>(this);
        interrupt_.start(SIGINT);
        reload_.set<signal_handlers, &signal_handlers::on_reload>(this);
        reload_.start(SIGHUP);
    }

private:
    void on_stop(ev::sig& /*watcher*/, int /*events*/) { process_.stop(); }
    void on_reload(ev::sig& /*watcher*/, int /*events*/)
    {
        // Settings with mistakes leave the ones in force.
        try {
            process_.reload(read_node_settings(file_));
        }
        catch (const base::findings_error& error) {
            base::logger("settings")
                .error("event=reload_refused findings=\"" + std::string(error.what()) +
                       "\"");
        }
    }

    Process& process_;
    std::string file_;
    ev::sig terminate_;
    ev::sig interrupt_;
    ev::sig reload_;
};

// Holds back the signals that signal_handlers takes until they are in place: a reload
// right after the start would end the process. Whoever starts it can hold them back from
// the first instruction on, since release() lets them through whatever was inherited.
class held_signals
{
public:
    held_signals()
    {
        sigemptyset(&held_);
        for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
            sigaddset(&held_, signal);
        }
        sigprocmask(SIG_BLOCK, &held_, nullptr);
    }
    ~held_signals() { release(); }
    held_signals(const held_signals&) = delete;
    held_signals& operator=(const held_signals&) = delete;

    void release() { sigprocmask(SIG_UNBLOCK, &held_, nullptr); }

private:
    sigset_t held_{};
};

// Writes the log's lines before the loop waits, and when it goes away.
class log_writer
{
public:
    explicit log_writer(ev::loop_ref loop)
        : before_wait_(loop)
    {
        before_wait_.set<&log_writer::on_wait>();
        before_wait_.start();
    }
    ~log_writer() { base::write_structured_lines(); }
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

private:
    static void on_wait(ev::prepare& /*watcher*/, int /*events*/)
    {
        base::write_structured_lines();
    }

    ev::prepare before_wait_;
};

// The address that the process listens on for others.
inline std::string listen_address(const node_settings& settings)
{
    for (const auto& each : {settings.callers, settings.operators}) {
        if (each) {
            return each->address;
        }
    }
    return settings.address;
}

template <class Process>
int serve(const std::string& file, bool check_only, std::uint16_t metrics_port,
          std::size_t gather_from_fronts, base::duration zone_cost, held_signals& held)
{
    node_settings settings = read_node_settings(file);
    settings.gather_from_fronts = gather_from_fronts;
    settings.zone_cost = zone_cost;
    if (check_only) {
        std::puts("settings are valid");
        return base::exit_ok;
    }
    // A write to a closed connection reports an error instead.
    std::signal(SIGPIPE, SIG_IGN);
    ev::default_loop loop;
    const log_writer lines(loop);
    Process process(loop, settings);
    const signal_handlers<Process> signals(loop, process, file);
    std::optional<http::metrics_server> metrics;
    if (metrics_port != 0) {
        metrics.emplace(loop, base::endpoint{listen_address(settings), metrics_port},
                        [&process] { return process.metrics_text(); });
    }
    held.release();
    loop.run(0);
    return base::exit_ok;
}

} // namespace internal

// The main function of a program that runs on the platform: reads the command line and
// the settings file, serves until a signal ends it, and returns the exit status.
// `Process` is built from a loop and node_settings and has stop(), reload() and
// metrics_text().
template <class Process>
int run_process(int argc, char** argv, const program_description& program)
{
    using namespace internal;
    held_signals held;
    return_large_buffers();
    CLI::App app(program.purpose, program.name);
    std::string file;
    std::string level = "info";
    bool check_only = false;
    std::uint16_t metrics_port = 0;
    std::size_t gather_from_fronts = node_settings().gather_from_fronts;
    auto zone_cost_ms = static_cast<std::uint32_t>(node_settings().zone_cost.count());
    app.add_option("--settings", file,
                   "Settings file; by default the one that the environment names");
    app.add_option("--log-level", level, "debug, info, warn or error");
    app.add_option("--metrics-port", metrics_port,
                   "Port of /metrics in the Prometheus text format; 0 for none");
    app.add_option("--gather-from-fronts", gather_from_fronts,
                   "Number of front processes from which the core has a few of them "
                   "gather the parts of large queries for the others; 0 for never");
    app.add_option("--zone-cost-ms", zone_cost_ms,
                   "Wait in milliseconds that a caller accepts for a query that stays "
                   "in its availability zone; 0 if leaving it costs nothing (front)");
    app.add_flag("--check-settings", check_only, "Check the settings and exit");
    app.set_version_flag("--version", program.name + " " + CURRANTHOIST_VERSION);
    app.footer("Exit codes:\n"
               "  0  stopped gracefully, or the settings are valid\n"
               "  1  unexpected error\n"
               "  2  wrong command line\n"
               "  3  the settings or the data folder have mistakes; each is printed\n"
               "  4  a listen address can't be bound\n"
               "Signals: SIGTERM and SIGINT stop gracefully, SIGHUP reads the settings.");
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? base::exit_ok : base::exit_usage;
    }
    if (!base::configure_structured_logging(level)) {
        std::fprintf(stderr, "unknown log level '%s'\n", level.c_str());
        return base::exit_usage;
    }
    return base::status_of([&] {
        return serve<Process>(file.empty() ? settings_path() : file, check_only,
                              metrics_port, gather_from_fronts,
                              base::duration(zone_cost_ms), held);
    });
}

} // namespace curranthoist::platform
