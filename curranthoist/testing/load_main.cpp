// The load generator's command line. Exits with 1 if an answer was wrong.

#include "curranthoist/base/logger.hpp"
#include "curranthoist/testing/load_generator.hpp"

#include <CLI/CLI.hpp>
#include <ev++.h>

#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

using curranthoist::base::duration;
using curranthoist::base::endpoint;
using curranthoist::testing::arrival_pattern;
using curranthoist::testing::load_generator;
using curranthoist::testing::load_settings;

struct raw_options
{
    std::vector<std::string> entries;
    std::int64_t duration_ms = 10'000;
    std::int64_t deadline_ms = 1000;
    std::int64_t ready_ms = 200;
    bool json = false;
    bool list_orders = false;
};

std::string endpoint_mistake(const std::string& text)
{
    return endpoint::parse(text) ? "" : "must be an IPv4 address and a port";
}

void declare_requests(CLI::App& app, load_settings& settings, raw_options& raw)
{
    app.add_option("--entry", raw.entries, "Address of an entry process; repeatable")
        ->required()
        ->check(endpoint_mistake);
    app.add_option("--query", settings.query_services, "Query service; repeatable");
    app.add_option("--order", settings.order_services, "Order service; repeatable");
    app.add_option("--order-fraction", settings.order_fraction, "Share of orders")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--padding-bytes", settings.padding_bytes, "Added to each body");
    app.add_option("--deadline-ms", raw.deadline_ms, "Deadline of each request")
        ->check(CLI::PositiveNumber);
}

void declare_options(CLI::App& app, load_settings& settings, raw_options& raw)
{
    declare_requests(app, settings, raw);
    app.add_option("--rate", settings.rate, "Requests per second")
        ->check(CLI::PositiveNumber);
    app.add_option("--arrivals", settings.arrivals, "poisson or fixed")
        ->transform(CLI::CheckedTransformer(std::map<std::string, arrival_pattern>{
            {"poisson", arrival_pattern::poisson}, {"fixed", arrival_pattern::fixed}}));
    app.add_option("--duration-ms", raw.duration_ms, "How long it sends")
        ->check(CLI::PositiveNumber);
    app.add_option("--connections", settings.connections_per_entry,
                   "Open connections to each entry")
        ->check(CLI::PositiveNumber);
    app.add_option("--ready-ms", raw.ready_ms, "Interval of /ready checks, 0 for none")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--seed", settings.seed, "Seed of all random choices");
    app.add_flag("--json", raw.json, "Print the report as JSON");
    app.add_flag("--list-orders", raw.list_orders,
                 "Add the outcome of each order to the JSON report");
}

void complete(load_settings& settings, const raw_options& raw)
{
    for (const std::string& text : raw.entries) {
        settings.entries.push_back(*endpoint::parse(text));
    }
    settings.duration = duration(raw.duration_ms);
    settings.deadline = duration(raw.deadline_ms);
    settings.ready_interval = duration(raw.ready_ms);
}

void stop_loop(ev::sig& watcher, int /*events*/)
{
    ev::get_default_loop().break_loop(ev::ALL);
    watcher.stop();
}

int run(const load_settings& settings, const raw_options& raw)
{
    ev::default_loop loop;
    ev::sig on_term(loop);
    on_term.set<&stop_loop>();
    on_term.start(SIGTERM);
    load_generator generator(loop, settings, [&loop] { loop.break_loop(ev::ALL); });
    loop.run(0);
    if (raw.json) {
        std::cout << generator.report().to_json(raw.list_orders).dump() << '\n';
    }
    else {
        std::cout << generator.report().to_text();
    }
    return generator.report().wrong_answers() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Open-loop load generator of curranthoist");
    load_settings settings;
    raw_options raw;
    declare_options(app, settings, raw);
    CLI11_PARSE(app, argc, argv);
    if (settings.query_services.empty() && settings.order_services.empty()) {
        std::cerr << "needs --query or --order\n";
        return 2;
    }
    complete(settings, raw);
    try {
        return run(settings, raw);
    }
    catch (const std::exception& error) {
        curranthoist::base::logger("load").error(error.what());
        return 1;
    }
}
