"""Measures the system with the chosen policies and with baselines, process by process as in
the deployments. docs/measurement.md explains the situations and the figures."""

import argparse
import dataclasses
import json
import os
import signal
import subprocess
import sys
import threading
import time

import bench_figures as figures
import bench_probe as probe
import fleet

POLICIES = {
    "chosen": {},
    "random": {"replica_choice": "random"},
    "round_robin": {"replica_choice": "round_robin"},
    "no_hedge": {"hedging": False},
    "no_admission": {"admission": False},
    "immediate": {"cold_return": "immediate"},
}
DEPLOYMENTS = {"meal_search": fleet.MEAL_SEARCH, "vakadrum": fleet.VAKADRUM}
# A service with one shard, to compare one part through the system with a direct call.
SINGLE = fleet.Service("single-shard", "query", 1, 2, 2, 25, 6)
COLD_OPTIONS = ["--cold-ms", "3000", "--cold-slots", "1", "--cold-slowdown", "4"]
STRAGGLE_MS = 50
STRAGGLER_SHARE = 20  # One in so many.
STALL_SHARE = 5
COLD_SHARE = 5
WARM_LIMIT_S = 40.0
# The pace of a target grows with its responses, so a higher rate warms it sooner.
WARM_RATE = 3
DIRECT_CALLS = 200
# What the default run measures of each baseline: where its policy makes a difference.
BASELINE_SITUATIONS = {
    "random": ("ordinary", "stragglers", "cold"),
    "round_robin": ("ordinary", "stragglers", "cold"),
    "no_hedge": ("ordinary", "stragglers", "slow_requests"),
    "no_admission": ("ordinary", "stragglers", "zone", "cold"),
    "immediate": ("ordinary", "zone", "cold"),
}
# The second of a run in which its fault or operator's action begins.
ACTS_AT = 3


@dataclasses.dataclass
class Run:
    """One fleet with one set of policies."""
    label: str
    system: fleet.Fleet
    options: argparse.Namespace
    ordinary_p99: float = 0.0
    seed: int = 1

    def emit(self, situation, values):
        for name, value, unit in values:
            print(f"{self.label}.{situation}.{name} {value:.6g} {unit}", flush=True)

    def services(self, kind):
        return [one.name for one in self.system.deployment.services
                if one.kind == kind and one is not SINGLE]

    def query_targets(self):
        names = self.services("query")
        return [one for one in self.system.targets if one.service.name in names]

    # Load

    def start_load(self, seconds, rate, kind, services):
        self.seed += 1
        command = [os.path.join(self.system.bin, "curranthoist-load"), "--json",
                   "--rate", str(rate), "--duration-ms", str(int(seconds * 1000)),
                   "--deadline-ms", str(self.options.deadline_ms),
                   "--seed", str(self.seed)]
        for address, _ in self.system.entries.values():
            command += ["--entry", f"{address}:8080"]
        for service in services:
            command += [f"--{kind}", service]
        return subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                                text=True)

    def load(self, seconds, rate, order_rate, action=None, more_services=()):
        """Queries and orders for some time; the action runs meanwhile. The intervals of the
        result are those of the queries."""
        queried = self.services("query") + list(more_services)
        loads = [self.start_load(seconds, rate, "query", queried),
                 self.start_load(seconds, order_rate, "order", self.services("order"))]
        try:
            acting = threading.Thread(target=action) if action else None
            if acting:
                acting.start()
            queries, orders = (json.loads(one.communicate(timeout=seconds + 30)[0])
                               for one in loads)
            if acting:
                acting.join()
        finally:
            for one in loads:
                if one.poll() is None:
                    one.kill()
                one.wait()
        queries["orders"] = orders["orders"]
        return queries

    def cold_targets(self, services):
        values = probe.all_metrics(self.system)
        return sum(probe.metric_sum(values, "curranthoist_cold_targets", f'"{name}"')
                   for name in services)

    def warm_up(self):
        """Sends until no query target is paced, every answer is complete and the median of two
        seconds in a row differs by less than half. A second has too few queries for a p99."""
        end = time.monotonic() + WARM_LIMIT_S
        last = 0.0
        while time.monotonic() < end:
            queries = self.load(1.0, WARM_RATE * self.options.rate,
                                self.options.order_rate,
                                more_services=[SINGLE.name])["queries"]
            median = queries["latency_us"]["p50"]
            steady = last / 1.5 <= median <= last * 1.5
            whole = queries["served"] == queries["sent"] and queries["partial"] == 0
            if (steady and whole
                    and self.cold_targets(self.services("query") + [SINGLE.name]) == 0):
                return True
            last = median
        return False

    def measure(self, situation, action=None, seconds=None):
        """The report, and the samples before and after."""
        started = time.monotonic()
        warm = self.warm_up()
        self.emit(situation, [("warm_up", time.monotonic() - started, "s"),
                              ("warm", int(warm), "bool"),
                              ("cold_targets_at_start",
                               self.cold_targets(self.services("query")), "targets")])
        before = probe.Sample(self.system)
        report = self.load(seconds or self.options.seconds, self.options.rate,
                           self.options.order_rate, action)
        after = probe.Sample(self.system)
        for values in (figures.of_load(report), figures.of_extra(report, before, after),
                       figures.of_sheds(before, after),
                       figures.of_limits(self.system, after),
                       figures.of_machine(before, after)):
            self.emit(situation, values)
        return report, before, after


def ordinary(run):
    report, _, _ = run.measure("ordinary")
    run.ordinary_p99 = report["queries"]["latency_us"]["p99"] / 1000


def direct(run):
    """What one part costs through the system and without it."""
    target = next(one for one in run.system.targets if one.service is SINGLE)
    part = f"/v1/part?service={SINGLE.name}&shard=0&snapshot=1"
    without = probe.median(probe.call_times(target.address, part, {}, DIRECT_CALLS))
    entry = f"{run.system.entries['vm-1'][0]}:8080"
    run.emit("direct", [("warm", int(run.warm_up()), "bool")])
    within = probe.median(probe.call_times(entry, f"/v1/query/{SINGLE.name}", {},
                                           DIRECT_CALLS))
    run.emit("direct", [("direct_p50", without, "ms"), ("through_p50", within, "ms"),
                        ("added_p50", within - without, "ms")])


def stragglers(run):
    """One target in twenty is slow for every request."""
    slow = run.query_targets()[::STRAGGLER_SHARE]
    for target in slow:
        run.system.fault(target, fault="straggle", ms=STRAGGLE_MS)
    try:
        # After the time in which the coordinators notice them.
        report, _, _ = run.measure("stragglers")
        compare(run, "stragglers", report)
    finally:
        clear(run, slow)


def slow_requests(run):
    """One request in twenty is slow, at every target."""
    targets = run.query_targets()
    for target in targets:
        run.system.fault(target, fault="straggle", ms=STRAGGLE_MS,
                         probability=1 / STRAGGLER_SHARE)
    try:
        report, _, _ = run.measure("slow_requests")
        compare(run, "slow_requests", report)
    finally:
        clear(run, targets)


def compare(run, situation, report):
    p99 = report["queries"]["latency_us"]["p99"] / 1000
    run.emit(situation, [("p99_to_ordinary", figures.share(p99, run.ordinary_p99), "times")])


def clear(run, targets):
    for target in targets:
        run.system.fault(target, fault="clear")


def zone(run):
    name = run.system.deployment.zones[0]
    seconds = max(20.0, run.options.seconds)

    def leave_and_return():
        time.sleep(ACTS_AT)
        run.system.ctl("apply", "--yes", "zone_out", f"zone={name}")
        time.sleep((seconds - ACTS_AT) / 2)
        run.system.ctl("apply", "--yes", "zone_in", f"zone={name}")

    report, _, _ = run.measure("zone", leave_and_return, seconds)
    run.emit("zone", figures.of_intervals(report, run.ordinary_p99, ACTS_AT))


def cold(run):
    targets = run.query_targets()[::COLD_SHARE]

    def turn_cold():
        time.sleep(ACTS_AT)
        for target in targets:
            run.system.fault(target, fault="turn_cold")

    report, _, _ = run.measure("cold", turn_cold)
    run.emit("cold", figures.of_intervals(report, run.ordinary_p99, ACTS_AT))


def silent(run):
    targets = run.query_targets()[::STALL_SHARE]
    stalled_at = []

    def stall():
        time.sleep(ACTS_AT)
        stalled_at.append(int(time.time()))
        for target in targets:
            run.system.fault(target, fault="stall_connections")

    report, _, after = run.measure("silent", stall)
    run.emit("silent", figures.of_intervals(report, run.ordinary_p99, ACTS_AT))
    names, at = [one.name for one in targets], stalled_at[0]
    before = figures.starts_between(after.journals, names, at - 2, at)
    later = figures.starts_between(after.journals, names, at + 2, at + 4)
    run.emit("silent", [("stalled_targets_starts_kept", figures.percent(later, before),
                         "percent")])


def entry_restart(run):
    def kill_and_start():
        time.sleep(ACTS_AT)
        run.system.kill("vm-3")
        run.system.wait_exit("vm-3")
        time.sleep(1.0)
        run.system.start_entry("vm-3")

    report, _, _ = run.measure("entry_restart", kill_and_start,
                               max(12.0, run.options.seconds))
    run.emit("entry_restart", figures.of_intervals(report, run.ordinary_p99, ACTS_AT))


SITUATIONS = {one.__name__: one for one in (ordinary, direct, stragglers, slow_requests,
                                            zone, silent, entry_restart, cold)}


def run_fleet(options, deployment_name, policy):
    label = f"{deployment_name}.{policy}"
    deployment = DEPLOYMENTS[deployment_name]
    deployment = dataclasses.replace(deployment, services=deployment.services + (SINGLE,))
    shape = ["--service-shape", options.service_shape]
    with fleet.Fleet(options.build, deployment, policies=POLICIES[policy],
                     service_ms=options.service_ms, target_options=COLD_OPTIONS + shape,
                     log_level=options.log_level, network=options.network) as system:
        started = time.monotonic()
        system.start()
        print(f"{label}.start {time.monotonic() - started:.3f} s", flush=True)
        run = Run(label, system, options)
        chosen = options.situations or BASELINE_SITUATIONS.get(policy, SITUATIONS)
        for name, situation in SITUATIONS.items():
            if name in chosen:
                try:
                    situation(run)
                except Exception as error:  # The other situations are still worth a run.
                    print(f"{label}.{name}.error 1 {error!r}", flush=True)
        if options.keep_logs:
            os.makedirs(options.keep_logs, exist_ok=True)
            for name in [*system.entries, *system.controls]:
                with open(os.path.join(options.keep_logs, f"{label}.{name}.log"), "w",
                          encoding="utf-8") as file:
                    file.write(system.log_of(name))


def parse(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build folder")
    parser.add_argument("--situations", nargs="+", choices=SITUATIONS,
                        help="of every policy; by default all of the chosen policies and "
                             "of a baseline those where it makes a difference")
    parser.add_argument("--limit-s", type=float, default=660.0,
                        help="starts no further fleet after this time")
    parser.add_argument("--policies", nargs="+", choices=POLICIES, default=list(POLICIES))
    parser.add_argument("--deployments", nargs="+", choices=DEPLOYMENTS,
                        default=list(DEPLOYMENTS),
                        help="baselines run on the first one only")
    parser.add_argument("--seconds", type=float, default=8.0, help="of each measurement")
    parser.add_argument("--rate", type=float, default=40.0, help="queries per second")
    parser.add_argument("--order-rate", type=float, default=4.0, help="orders per second")
    parser.add_argument("--deadline-ms", type=int, default=1000)
    parser.add_argument("--service-ms", type=float, default=5)
    parser.add_argument("--service-shape", default="log-normal",
                        choices=("fixed", "exponential", "log-normal"))
    parser.add_argument("--network", type=int, nargs=3, default=(60, 70, 80),
                        help="second octets of entry VMs, control members and targets")
    parser.add_argument("--log-level", default="warn")
    parser.add_argument("--keep-logs", help="folder for the logs of entry and control processes")
    return parser.parse_args(arguments)


def main():
    options = parse(sys.argv[1:])
    # Ends the fleet's processes when the bench itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started = time.monotonic()
    print(f"machine.cores {os.cpu_count()} cores")
    print(f"machine.load_before {os.getloadavg()[0]:.2f} processes")
    for number, deployment in enumerate(options.deployments):
        for policy in options.policies:
            if policy != "chosen" and number > 0:
                continue
            if time.monotonic() - started > options.limit_s:
                print(f"{deployment}.{policy}.skipped 1 time limit", flush=True)
                continue
            run_fleet(options, deployment, policy)
    print(f"total {time.monotonic() - started:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
