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
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <malloc.h>
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

// Bytes on the heap that are in use.
double heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double per_vm(std::uint64_t bytes, const fleet_size& size)
{
    return static_cast<double>(bytes) / static_cast<double>(size.vms);
}

// Returns the processor time of a second without changes.
double measure_quiet(fleet_model& fleet, const fleet_size& size)
{
    constexpr std::int64_t quiet_s = 20;
    fleet.reset_traffic();
    const double start = cpu_seconds();
    fleet.run(base::duration(quiet_s * 1000));
    const double each = (cpu_seconds() - start) / quiet_s;
    print("leader_cpu_quiet", each * 100, "percent_of_core");
    print("leader_to_vm_quiet", per_vm(fleet.traffic().bytes, size) / quiet_s,
          "bytes_per_s_per_vm");
    print("vm_heartbeat", static_cast<double>(fleet.heartbeat_bytes()), "bytes");
    return each;
}

void measure_changes(fleet_model& fleet, const fleet_size& size, double quiet)
{
    constexpr int changes = 5;
    fleet.reset_traffic();
    const double start = cpu_seconds();
    for (int i = 0; i < changes; ++i) {
        fleet.change_limit();
        fleet.run(1_s);
    }
    print("change_leader_cpu", ((cpu_seconds() - start) / changes - quiet) * 1000, "ms");
    print("change_to_vm", per_vm(fleet.traffic().configuration_bytes, size) / changes,
          "bytes_per_vm");
    print("change_log", static_cast<double>(fleet.traffic().command_bytes) / changes,
          "bytes");

    fleet.reset_traffic();
    for (std::size_t i = 0; i < changes; ++i) {
        fleet.change_fact(i);
        fleet.run(1_s);
    }
    print("fact_change_to_vm", per_vm(fleet.traffic().roster_bytes, size) / changes,
          "bytes_per_vm");
}

void print_moves(const std::string& name, const fleet_model& fleet,
                 const fleet_size& size)
{
    const control_traffic& traffic = fleet.traffic();
    print((name + "_configuration_to_vm").c_str(),
          per_vm(traffic.configuration_bytes, size), "bytes_per_vm");
    print((name + "_roster_to_vm").c_str(), per_vm(traffic.roster_bytes, size),
          "bytes_per_vm");
    print((name + "_commands").c_str(), static_cast<double>(traffic.commands), "count");
    print((name + "_log").c_str(), static_cast<double>(traffic.command_bytes), "bytes");
}

void measure_loss(fleet_model& fleet, const fleet_size& size, double quiet)
{
    fleet.reset_traffic();
    fleet.stop_vm(0);
    base::instant begin = fleet.time();
    double start = cpu_seconds();
    const auto extra_ms = [&] {
        const double span = (fleet.time() - begin).seconds();
        return (cpu_seconds() - start - quiet * span) * 1000;
    };
    print("vm_loss_until_assigned", fleet.run_until_assigned(60_s).seconds(),
          "s_model_time");
    print("vm_loss_settling", fleet.run_until_settled(600_s).seconds(), "s_model_time");
    print("vm_loss_leader_cpu", extra_ms(), "ms");
    print_moves("vm_loss", fleet, size);

    fleet.reset_traffic();
    begin = fleet.time();
    start = cpu_seconds();
    fleet.restart_vm(0);
    print("vm_return_settling", fleet.run_until_settled(600_s).seconds(), "s_model_time");
    print("vm_return_leader_cpu", extra_ms(), "ms");
    print_moves("vm_return", fleet, size);
}

void measure_failover(fleet_model& fleet, const fleet_size& size)
{
    fleet.reset_traffic();
    fleet.fail_over();
    fleet.run(10_s);
    print_moves("failover", fleet, size);
}

// What one VM keeps of the configuration and the roster.
void measure_vm_memory(const fleet_model& fleet)
{
    const control::configuration& current = fleet.state().current();
    wire::configuration_update_message update;
    update.value =
        std::make_unique<wire::configuration_message>(control::to_message(current));
    const std::vector<std::uint8_t> frame = wire::encode_frame(std::move(update));
    print("configuration", static_cast<double>(frame.size()), "bytes");
    const auto decode = [&frame] {
        const std::vector<std::uint8_t> body(frame.begin() + wire::frame_prefix_bytes,
                                             frame.end());
        wire::configuration_update_message unpacked;
        wire::verified_envelope(body)->body_as_configuration_update()->UnPackTo(
            &unpacked);
        return control::from_message(*unpacked.value);
    };
    print("configuration_apply", microseconds_of(3, [&] { static_cast<void>(decode()); }),
          "us");
    double before = heap_bytes();
    const control::configuration held = decode();
    print("vm_configuration_memory", heap_bytes() - before, "bytes");
    before = heap_bytes();
    const std::map<base::target_id, control::roster::entry> facts =
        fleet.leader().facts().entries();
    print("vm_roster_memory", heap_bytes() - before, "bytes");
    const auto roster = fleet.leader().facts().update(0, true);
    print("roster", static_cast<double>(wire::encode_frame(roster).size()), "bytes");
}

void measure_state(const fleet_model& fleet)
{
    const std::vector<std::uint8_t> snapshot = fleet.state().snapshot();
    print("state_snapshot", static_cast<double>(snapshot.size()), "bytes");
    print("state_snapshot_encode",
          microseconds_of(3, [&] { static_cast<void>(fleet.state().snapshot()); }), "us");
    const double before = heap_bytes();
    const control::cluster_state copy = control::cluster_state::restore(snapshot);
    print("leader_state_memory", heap_bytes() - before, "bytes");
}

void measure_control(const fleet_size& size)
{
    const double before = heap_bytes();
    fleet_model fleet(size);
    print("first_assignment", fleet.run_until_assigned(120_s).seconds(), "s_model_time");
    print("first_settling", fleet.run_until_settled(600_s).seconds(), "s_model_time");
    print("first_settling_to_vm", per_vm(fleet.traffic().bytes, size), "bytes_per_vm");
    const double quiet = measure_quiet(fleet, size);
    // The replicated state, the controller and, smaller, the modelled VMs.
    print("leader_memory", heap_bytes() - before, "bytes");
    measure_changes(fleet, size, quiet);
    measure_loss(fleet, size, quiet);
    measure_failover(fleet, size);
    measure_state(fleet);
    measure_vm_memory(fleet);
}

routing::shard_map::target_report_map facts_of(const control::configuration& current)
{
    routing::shard_map::target_report_map facts;
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
    const routing::shard_map::target_report_map facts = facts_of(current);
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
