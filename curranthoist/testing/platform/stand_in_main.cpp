// The stand-in platform's command line: a list of targets, and the targets themselves.

#include "curranthoist/testing/platform/stand_in_platform.hpp"

#include <CLI/CLI.hpp>
#include <ev++.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace {

using curranthoist::base::duration;
using curranthoist::base::endpoint;
using curranthoist::testing::stand_in_platform;

struct options
{
    std::string list;
    std::string address;
    std::uint16_t first_port = 9100;
    unsigned shards = 20;
    unsigned copies = 2;
    unsigned singles = 4;
    std::int64_t work_ms = 5;
};

void end_loop(ev::sig& watcher, int /*events*/)
{
    ev::loop_ref(watcher.loop).break_loop(ev::ALL);
}

// Shards are the services s0, s1, ...; requests to one target go to the service `single`.
void add_targets(stand_in_platform& platform, const options& from)
{
    std::uint16_t port = from.first_port;
    const auto add = [&](const std::string& service, unsigned copy) {
        stand_in_platform::target added;
        added.id = service + "-" + std::to_string(copy);
        added.service = service;
        added.address = {from.address, port++};
        added.work = duration(from.work_ms);
        platform.add(added);
    };
    for (unsigned copy = 0; copy < from.copies; ++copy) {
        for (unsigned shard = 0; shard < from.shards; ++shard) {
            add("s" + std::to_string(shard), copy);
        }
    }
    for (unsigned copy = 0; copy < from.singles; ++copy) {
        add("single", copy);
    }
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    CLI::App app(
        "A platform for curranthoist-front and curranthoist-core on one machine.",
        "curranthoist-stand-in-platform");
    app.add_option("--list", chosen.list, "Where the list is served")->required();
    app.add_option("--address", chosen.address, "The targets' address")->required();
    app.add_option("--first-port", chosen.first_port, "The first target's port");
    app.add_option("--shards", chosen.shards, "Number of shards");
    app.add_option("--copies", chosen.copies, "Targets of each shard");
    app.add_option("--singles", chosen.singles, "Targets of the other service");
    app.add_option("--work-ms", chosen.work_ms, "Time that a target takes");
    CLI11_PARSE(app, argc, argv);
    const auto list = endpoint::parse(chosen.list);
    if (!list) {
        std::cerr << "--list must be an IPv4 address and a port\n";
        return 2;
    }
    try {
        stand_in_platform platform(*list);
        add_targets(platform, chosen);
        ev::dynamic_loop loop;
        ev::sig terminate(loop);
        terminate.set<&end_loop>();
        terminate.start(SIGTERM);
        loop.run(0);
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
