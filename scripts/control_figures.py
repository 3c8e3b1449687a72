"""Measures the control processes with real disks and prints one 'name value unit' a line.

A small deployment (3 control members, 4 entry VMs, 8 targets) takes 1,000 operator changes
one after another; then the leader is killed, and every member is restarted.
"""

import os
import signal
import sys
import time

import fleet

CHANGES = 1000
IDLE_S = 10.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

SMALL = fleet.Deployment("control-figures", ("ettal", "andechs"), (
    fleet.Service("kuechenblick", "query", 3, 2, 2, 25, 6),
    fleet.Service("einkauf", "order", 1, 2, 4, 45, 1)))


def show(name, value, unit):
    print(f"{name} {value:.3f} {unit}", flush=True)


def percentile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))


def folder_bytes(path):
    return sum(os.path.getsize(os.path.join(at, name))
               for at, _, names in os.walk(path) for name in names)


def leader_name(system):
    """The leader's name, or nothing while no member says that it leads."""
    for name, address in system.controls.items():
        if name in system.processes:
            status, body = fleet.get(f"http://{address}:8081/v1/status", 1.0)
            if status == 200 and body.get("leader") == name:
                return name
    return None


def change(system, leader, number):
    """One planned and confirmed change; the seconds that each of the two steps took."""
    base = f"http://{system.controls[leader]}:8081"
    intent = {"kind": "set_limit", "service": "einkauf",
              "max_deadline_ms": 1000 + number % 500}
    started = time.monotonic()
    status, plan = fleet.post(base + "/v1/plan", fleet.json.dumps({"intent": intent}))
    planned = time.monotonic()
    if status != 200:
        raise RuntimeError(f"plan refused: {status} {plan}")
    confirm = {"intent_id": f"figures-{os.getpid()}-{number}", "operator": "figures",
               "plan_id": plan["plan_id"], "base_revision": plan["base_revision"],
               "intent": intent}
    status, outcome = fleet.post(base + "/v1/confirm", fleet.json.dumps(confirm))
    if status != 200:
        raise RuntimeError(f"confirm refused: {status} {outcome}")
    return planned - started, time.monotonic() - planned


def measure_idle(system):
    groups = {"control": list(system.controls), "entry": list(system.entries)}
    before = {name: cpu_seconds(system.processes[name])
              for names in groups.values() for name in names}
    time.sleep(IDLE_S)
    for group, names in groups.items():
        used = [cpu_seconds(system.processes[name]) - before[name] for name in names]
        show(f"{group}_idle_cpu_highest", max(used) / IDLE_S * 100, "percent_of_core")
        show(f"{group}_memory_highest",
             max(memory_mb(system.processes[name]) for name in names), "MB")


def measure_changes(system):
    leader = leader_name(system)
    folder = os.path.join(system.folder, leader + "-data")
    before = folder_bytes(folder)
    written = 0
    seconds = []
    last = before
    for number in range(CHANGES):
        seconds.append(change(system, leader, number)[1])
        now = folder_bytes(folder)
        written += max(0, now - last)
        last = now
    show("commit_p50", percentile(seconds, 0.5) * 1000, "ms")
    show("commit_p99", percentile(seconds, 0.99) * 1000, "ms")
    show("disk_growth_per_change", written / CHANGES, "bytes")
    show("data_folder_after_changes", last, "bytes")


def revision(system):
    return system.status()["revision"]


def measure_in_force(system):
    """Time from a confirmed change until every VM has reported its revision."""
    slowest = 0.0
    for number in range(20):
        change(system, leader_name(system), CHANGES + number)
        started = time.monotonic()
        system.wait_until(
            lambda: all(vm["lag_revisions"] == 0 for vm in system.status()["vms"]),
            "the change in force everywhere")
        slowest = max(slowest, time.monotonic() - started)
    show("in_force_everywhere_slowest_of_20", slowest, "s")


def measure_failover(system):
    leader = leader_name(system)
    system.kill(leader)
    started = time.monotonic()
    system.wait_exit(leader)
    number = CHANGES + 100
    while time.monotonic() - started < fleet.READY_LIMIT_S:
        successor = leader_name(system)
        if successor:
            try:
                change(system, successor, number)
                break
            except RuntimeError:
                number += 1
        time.sleep(fleet.POLL_S)
    show("failover_until_next_change", time.monotonic() - started, "s")
    system.start_control(leader)


def measure_restart(system):
    expected = revision(system)
    for name in system.controls:
        system.kill(name, signal.SIGKILL)
    for name in system.controls:
        system.wait_exit(name)
    started = time.monotonic()
    for name in system.controls:
        system.start_control(name)
    system.wait_until(system.leader, "a leader after the restart")
    show("restart_of_all_until_leader", time.monotonic() - started, "s")
    system.wait_until(system.all_ready, "ready VMs after the restart")
    show("restart_of_all_until_service", time.monotonic() - started, "s")
    show("revisions_lost_by_restart", expected - revision(system), "count")


def main():
    with fleet.Fleet(sys.argv[1], SMALL, entries=4) as system:
        system.start()
        measure_idle(system)
        measure_changes(system)
        measure_in_force(system)
        measure_failover(system)
        system.wait_until(lambda: len(system.status()["members"]) == len(system.controls),
                          "all members")
        measure_restart(system)


if __name__ == "__main__":
    main()
