// The stand-in target's command line.

#include "curranthoist/base/logger.hpp"
#include "curranthoist/testing/stand_in_target.hpp"

#include <CLI/CLI.hpp>
#include <ev++.h>

#include <charconv>
#include <csignal>
#include <exception>
#include <string>
#include <vector>

namespace {

using curranthoist::base::endpoint;
using curranthoist::testing::held_snapshot;
using curranthoist::testing::target_settings;
using curranthoist::testing::time_shape;

struct raw_options
{
    std::string listen;
    std::string admin_listen;
    std::vector<std::string> snapshots;
    std::uint64_t shard = 0;
    std::uint64_t shards = 1;
    std::int64_t cold_ms = 0;
};

// Reads "version:shard:shards".
std::optional<held_snapshot> parse_snapshot(const std::string& text)
{
    held_snapshot result;
    const char* at = text.data();
    const char* const end = text.data() + text.size();
    for (std::uint64_t* field : {&result.version, &result.shard, &result.shards}) {
        const auto parsed = std::from_chars(at, end, *field);
        const bool last = field == &result.shards;
        if (parsed.ec != std::errc() || (parsed.ptr == end) != last ||
            (!last && *parsed.ptr != ':')) {
            return std::nullopt;
        }
        at = last ? parsed.ptr : parsed.ptr + 1;
    }
    return result.shard < result.shards ? std::optional(result) : std::nullopt;
}

std::string endpoint_mistake(const std::string& text)
{
    return endpoint::parse(text) ? "" : "must be an IPv4 address and a port";
}

std::string snapshot_mistake(const std::string& text)
{
    return parse_snapshot(text) ? "" : "must be version:shard:shards";
}

void declare_limits(CLI::App& app, target_settings& settings, raw_options& raw)
{
    app.add_option("--slots", settings.slots, "Requests that run at once");
    app.add_option("--connections", settings.connections, "Open connections allowed");
    app.add_option("--connect-cost-ms", settings.connect_cost_ms,
                   "Time of the target that each new connection takes");
    app.add_option("--service-ms", settings.service_ms, "Mean service time");
    app.add_option("--service-shape", settings.shape, "fixed, exponential, log-normal")
        ->transform(CLI::CheckedTransformer(
            std::map<std::string, time_shape>{{"fixed", time_shape::fixed},
                                              {"exponential", time_shape::exponential},
                                              {"log-normal", time_shape::log_normal}}));
    app.add_option("--cold-ms", raw.cold_ms, "Time for which a cold target stays cold");
    app.add_option("--cold-slots", settings.cold_slots, "Requests at once while cold");
    app.add_option("--cold-slowdown", settings.cold_slowdown,
                   "Factor on the service time while cold");
    app.add_option("--journal-parts", settings.journal_parts,
                   "Part runs that the journal keeps one by one");
}

void declare_options(CLI::App& app, target_settings& settings, raw_options& raw)
{
    app.add_option("--listen", raw.listen, "Address of the service port")
        ->required()
        ->check(endpoint_mistake);
    app.add_option("--admin-listen", raw.admin_listen, "Address of /fault and /journal")
        ->required()
        ->check(endpoint_mistake);
    app.add_option("--id", settings.id, "The target's name")->required();
    app.add_option("--service", settings.service, "The service it belongs to")
        ->required();
    app.add_option("--shard", raw.shard, "Shard held in version 1, without --snapshot");
    app.add_option("--shards", raw.shards, "Shards of version 1, without --snapshot");
    app.add_option("--snapshot", raw.snapshots, "Held snapshot, version:shard:shards")
        ->check(snapshot_mistake);
    app.add_option("--seed", settings.seed, "Seed of all random choices");
    declare_limits(app, settings, raw);
}

void complete(target_settings& settings, const raw_options& raw)
{
    settings.listen = *endpoint::parse(raw.listen);
    settings.admin_listen = *endpoint::parse(raw.admin_listen);
    settings.cold_time = curranthoist::base::duration(raw.cold_ms);
    for (const std::string& text : raw.snapshots) {
        settings.snapshots.push_back(*parse_snapshot(text));
    }
    if (settings.snapshots.empty()) {
        settings.snapshots.push_back({1, raw.shard, raw.shards});
    }
}

void stop_loop(ev::sig& watcher, int /*events*/)
{
    ev::get_default_loop().break_loop(ev::ALL);
    watcher.stop();
}

int run(const target_settings& settings)
{
    ev::default_loop loop;
    ev::sig on_term(loop);
    on_term.set<&stop_loop>();
    on_term.start(SIGTERM);
    ev::sig on_int(loop);
    on_int.set<&stop_loop>();
    on_int.start(SIGINT);
    const curranthoist::testing::stand_in_target target(loop, settings);
    loop.run(0);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in target of curranthoist, for tests");
    target_settings settings;
    raw_options raw;
    declare_options(app, settings, raw);
    CLI11_PARSE(app, argc, argv);
    complete(settings, raw);
    try {
        return run(settings);
    }
    catch (const std::exception& error) {
        curranthoist::base::logger("target").error(error.what());
        return 1;
    }
}
