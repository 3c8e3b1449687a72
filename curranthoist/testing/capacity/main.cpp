#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/routing/scatter.hpp"
#include "curranthoist/routing/shard_map.hpp"
#include "curranthoist/testing/capacity/fleet_model.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <functional>

#include <sys/resource.h>

// Measures the control leader's and the coordinator's pure code at one size and prints
// one "name value unit" a line.

namespace curranthoist::testing {
namespace {

using namespace base::literals;

double cpu_seconds()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    constexpr double nanoseconds = 1e9;
    return static_cast<double>(value.tv_sec) +
           static_cast<double>(value.tv_nsec) / nanoseconds;
}

double peak_memory_mb()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double kilobytes_per_megabyte = 1024.0;
    return static_cast<double>(usage.ru_maxrss) / kilobytes_per_megabyte;
}

void print(const char* name, double value, const char* unit)
{
    std::printf("%s %.3f %s\n", name, value, unit);
}

// Processor time of one call of `work` in microseconds, the least of several rounds.
double microseconds_of(int repeats, const std::function<void()>& work)
{
    constexpr int rounds = 3;
    constexpr double microseconds = 1e6;
    double best = 0;
    for (int round = 0; round < rounds; ++round) {
        const double start = cpu_seconds();
        for (int i = 0; i < repeats; ++i) {
            work();
        }
        const double each = (cpu_seconds() - start) * microseconds / repeats;
        best = round == 0 ? each : std::min(best, each);
    }
    return best;
}

void measure_control(const fleet_size& size)
{
    fleet_model fleet(size);
    const base::duration assigned = fleet.run_until_assigned(120_s);
    print("first_assignment", assigned.seconds(), "s_model_time");
    print("first_settling", fleet.run_until_settled(600_s).seconds(), "s_model_time");
    print("first_settling_to_vm",
          static_cast<double>(fleet.traffic().bytes) / static_cast<double>(size.vms),
          "bytes_per_vm");

    constexpr std::int64_t quiet_s = 20;
    fleet.reset_traffic();
    const double start = cpu_seconds();
    fleet.run(base::duration(quiet_s * 1000));
    const double vms = static_cast<double>(size.vms);
    print("leader_cpu_quiet", (cpu_seconds() - start) * 100 / quiet_s, "percent_of_core");
    print("leader_to_vm_quiet",
          static_cast<double>(fleet.traffic().bytes) / quiet_s / vms,
          "bytes_per_s_per_vm");
    print("vm_heartbeat", static_cast<double>(fleet.heartbeat_bytes()), "bytes");

    fleet.reset_traffic();
    constexpr int changes = 5;
    const double before_changes = cpu_seconds();
    for (int i = 0; i < changes; ++i) {
        fleet.change_limit();
    }
    print("change_leader_cpu", (cpu_seconds() - before_changes) * 1000 / changes, "ms");
    print("change_to_vm", static_cast<double>(fleet.traffic().bytes) / changes / vms,
          "bytes_per_vm");
    fleet.run(5_s);

    fleet.reset_traffic();
    fleet.stop_vm(0);
    const double before_loss = cpu_seconds();
    const base::duration moved = fleet.run_until_assigned(60_s);
    print("vm_loss_until_assigned", moved.seconds(), "s_model_time");
    fleet.run_until_settled(600_s);
    print("vm_loss_leader_cpu", (cpu_seconds() - before_loss) * 1000, "ms");
    print("vm_loss_to_vm", static_cast<double>(fleet.traffic().bytes) / vms,
          "bytes_per_vm");
    print("vm_loss_commands", static_cast<double>(fleet.traffic().commands), "count");

    fleet.reset_traffic();
    fleet.restart_vm(0);
    const double before_return = cpu_seconds();
    print("vm_return_settling", fleet.run_until_settled(600_s).seconds(), "s_model_time");
    print("vm_return_leader_cpu", (cpu_seconds() - before_return) * 1000, "ms");
    print("vm_return_to_vm", static_cast<double>(fleet.traffic().bytes) / vms,
          "bytes_per_vm");

    const std::vector<std::uint8_t> snapshot = fleet.state().snapshot();
    print("state_snapshot", static_cast<double>(snapshot.size()), "bytes");
    print("state_snapshot_encode",
          microseconds_of(3, [&] { static_cast<void>(fleet.state().snapshot()); }), "us");
    const control::configuration& current = fleet.state().current();
    wire::configuration_update_message update;
    update.value =
        std::make_unique<wire::configuration_message>(control::to_message(current));
    const std::vector<std::uint8_t> frame = wire::encode_frame(std::move(update));
    print("configuration", static_cast<double>(frame.size()), "bytes");
    print("configuration_apply",
          microseconds_of(
              3,
              [&] {
                  const std::vector<std::uint8_t> body(
                      frame.begin() + wire::frame_prefix_bytes, frame.end());
                  wire::configuration_update_message unpacked;
                  wire::verified_envelope(body)->body_as_configuration_update()->UnPackTo(
                      &unpacked);
                  static_cast<void>(control::from_message(*unpacked.value));
              }),
          "us");
}

routing::shard_map::fact_map facts_of(const control::configuration& current)
{
    routing::shard_map::fact_map facts;
    std::map<base::service_id, std::uint32_t> next;
    constexpr std::uint32_t shards = 80;
    for (const auto& [target, spec] : current.targets) {
        routing::target_fact fact;
        const std::uint32_t number = next[spec.service]++;
        fact.snapshots.push_back(
            {base::snapshot_version(1), base::shard_number(number % shards), shards});
        facts.emplace(target, std::move(fact));
    }
    return facts;
}

// Answers every part at once, in order.
std::size_t run_query(routing::scatter_context<>& context,
                      const std::shared_ptr<const routing::service_map>& map,
                      std::uint64_t number, base::instant now)
{
    routing::scatter_options options;
    options.query = number;
    options.deadline = now + 1_s;
    routing::scatter<> query(context, map, options);
    std::size_t parts = 0;
    for (const routing::scatter_action& action : query.start(now)) {
        const auto* send = std::get_if<routing::send_parts>(&action);
        if (send == nullptr) {
            continue;
        }
        for (const routing::part_attempt& part : send->parts) {
            routing::part_reply reply;
            reply.query = number;
            reply.part = part.part;
            reply.status = wire::part_status::ok;
            reply.snapshot = send->snapshot;
            reply.shard = base::shard_number(part.shard);
            constexpr std::uint32_t shards = 80;
            reply.shards = shards;
            reply.service_time = 5_ms;
            reply.body = R"({"hits":[1,2,3]})";
            static_cast<void>(query.on_part_reply(now + 5_ms, send->owner, reply));
            ++parts;
        }
    }
    return parts;
}

void measure_coordinator(const fleet_size& size)
{
    fleet_model fleet(size);
    fleet.run_until_assigned(120_s);
    const control::configuration& current = fleet.state().current();
    const routing::shard_map::fact_map facts = facts_of(current);
    print("shard_map_build",
          microseconds_of(3, [&] { const routing::shard_map map(current, facts); }),
          "us");
    const routing::shard_map map(current, facts);
    base::random_source random(1);
    routing::scatter_context<> context(random);
    const auto service = map.find(base::service_id("service-0"));
    std::uint64_t number = 0;
    std::size_t parts = 0;
    constexpr int queries = 500;
    const double each = microseconds_of(queries, [&] {
        ++number;
        parts = run_query(context, service, number,
                          base::instant(static_cast<std::int64_t>(number) * 10));
    });
    print("scatter_parts", static_cast<double>(parts), "parts_per_query");
    print("scatter_cpu", each / static_cast<double>(parts), "us_per_part");
}

int run(int argc, char** argv)
{
    CLI::App app{"Measures control and coordinator code at one size"};
    fleet_size size{720, 4500};
    app.add_option("--vms", size.vms, "Entry VMs")->check(CLI::Range(2, 2000));
    app.add_option("--targets", size.targets, "Targets")->check(CLI::Range(160, 10000));
    CLI11_PARSE(app, argc, argv);
    measure_control(size);
    measure_coordinator(size);
    print("peak_memory", peak_memory_mb(), "MB");
    return 0;
}

} // namespace
} // namespace curranthoist::testing

int main(int argc, char** argv)
{
    return curranthoist::testing::run(argc, argv);
}
