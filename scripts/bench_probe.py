"""What scripts/bench reads from the processes of a fleet: processor time, the targets' journals
and the metrics of the entry VMs."""

import concurrent.futures
import os
import re
import statistics
import http.client
import time

import fleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$")


def machine_times():
    """Idle and total processor time of the machine, in ticks."""
    with open("/proc/stat", encoding="ascii") as file:
        fields = [int(one) for one in file.readline().split()[1:9]]
    return fields[3] + fields[4], sum(fields)


def process_seconds(pid):
    """Processor time that the process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def entry_seconds(system):
    return {name: process_seconds(system.processes[name].pid) for name in system.entries
            if name in system.processes and system.processes[name].poll() is None}


def journals(system):
    """The sums and peaks of every running stand-in."""
    alive = [one for one in system.targets if system.processes[one.name].poll() is None]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        return {one.name: summary for one, summary in zip(alive, pool.map(system.summary,
                                                                         alive))}


def metrics(system, name):
    """The metrics of one entry VM by name and labels; none if it doesn't answer."""
    status, text = fleet.get(f"http://{system.entries[name][0]}:8080/metrics")
    if status != 200 or not isinstance(text, str):
        return {}
    found = (SAMPLE.match(line) for line in text.splitlines() if not line.startswith("#"))
    return {(one[1], one[2] or ""): float(one[3]) for one in found if one}


def all_metrics(system):
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        return dict(zip(system.entries, pool.map(lambda name: metrics(system, name),
                                                 system.entries)))


def metric_sum(per_vm, name, label=""):
    return sum(value for one in per_vm.values() for (key, labels), value in one.items()
               if key == name and label in labels)


def difference(after, before, name, label=""):
    """Growth of a counter over all VMs. A restarted process counts from 0 again."""
    growth = 0.0
    for vm, values in after.items():
        now = metric_sum({vm: values}, name, label)
        then = metric_sum({vm: before.get(vm, {})}, name, label)
        growth += now - then if now >= then else now
    return growth


def parts_started(summaries):
    return sum(one["parts"]["started"] for one in summaries.values())


class Sample:
    """All counters at one moment."""

    def __init__(self, system):
        self.journals = journals(system)
        self.metrics = all_metrics(system)
        self.machine = machine_times()
        self.seconds = entry_seconds(system)


def idle_share(before, after):
    idle, total = (b - a for a, b in zip(before.machine, after.machine))
    return 100.0 * idle / max(total, 1)


def entry_processor_seconds(before, after):
    return sum(after.seconds[name] - before.seconds[name] for name in after.seconds
               if after.seconds[name] >= before.seconds.get(name, 0.0))


# One caller with one kept connection, for the cost of the path.

def call_times(address, path, headers, calls):
    """Milliseconds of each of a row of calls on one connection; only whole answers count."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    times = []
    for number in range(calls):
        started = time.monotonic()
        connection.request("POST", path, body=b'{"text":"x"}', headers={
            **headers, "Request-Id": fleet.new_request_id(number), "Deadline-Ms": "1000"})
        response = connection.getresponse()
        response.read()
        if response.status == 200:
            times.append((time.monotonic() - started) * 1000)
    connection.close()
    return times


def median(values):
    return statistics.median(values) if values else float("nan")
