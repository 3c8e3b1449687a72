"""Starts ten entry VMs, three control members and the targets of the smaller deployment, and
runs queries and orders while a target and an entry process are killed. Then the same for the
platform's programs."""

import concurrent.futures
import json
import signal
import sys
import time

import fleet
import platform_demo

WORKERS = 8


class Checks:
    def __init__(self):
        self.passed = 0
        self.failed = 0

    def check(self, name, good, detail=""):
        self.passed += bool(good)
        self.failed += not good
        print(("ok   " if good else "FAIL ") + name + (f": {detail}" if detail else ""),
              flush=True)


def coverage_is_true(body):
    coverage = body["coverage"]
    shards = [one["shard"] for one in body["results"]]
    missing = [one["shard"] for one in coverage["missing"]]
    return (len(set(shards)) == len(shards) == coverage["answered"]
            and sorted(shards + missing) == list(range(coverage["total"]))
            and coverage["complete"] == (not missing))


def correct(body, service):
    """Every result comes from the shard, service and snapshot that the answer states."""
    return coverage_is_true(body) and all(
        one["body"]["shard"] == one["shard"] and one["body"]["service"] == service
        and one["body"]["snapshot"] == body["snapshot"] for one in body["results"])


def describe(status, body):
    if status != 200:
        return f"{status} {json.dumps(body)[:100]}"
    coverage = body["coverage"]
    return (f"snapshot {body['snapshot']}, {coverage['answered']} of {coverage['total']} "
            f"shards, missing {[one['shard'] for one in coverage['missing']]}")


def run_queries(checks, system):
    for service, shards in (("kuechenblick", 20), ("gaestebuch", 30)):
        for entry in ("vm-1", "vm-6"):
            status, body = system.query(entry, service)
            checks.check(f"caller at {entry} queries {service}",
                         status == 200 and body["coverage"]["answered"] == shards
                         and correct(body, service), describe(status, body))


def order_runs(system, request_id):
    """How often the order ran by the journals of all order targets."""
    runs = 0
    for target in system.targets:
        if target.service.kind == "order":
            runs += sum(1 for one in system.journal(target)
                        if one["kind"] == "order" and one["request_id"] == request_id)
    return runs


def run_orders(checks, system):
    for number in range(4):
        request_id = fleet.new_request_id(number)
        status, body = system.order("vm-2", "einkauf", request_id)
        checks.check(f"order {number} through vm-2", status == 200 and body["outcome"] == "ran",
                     f"{status} {json.dumps(body)[:80]}")
        again, repeated = system.order("vm-7", "einkauf", request_id)
        checks.check(f"order {number} resent through vm-7 returns the stored outcome",
                     again == 200 and repeated["body"] == body["body"])
        runs = order_runs(system, request_id)
        checks.check(f"order {number} ran once by the targets' journals", runs == 1, f"{runs}")


def query_while(system, action, seconds, names):
    """Queries through the named VMs on several threads for some time while `action` runs."""
    end = time.monotonic() + seconds
    answers = []

    def ask(worker):
        while time.monotonic() < end:
            name = names[worker % len(names)]
            started = time.monotonic()
            status, body = system.query(name, "kuechenblick")
            answers.append((name, status, body, time.monotonic() - started))

    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        tasks = [pool.submit(ask, worker) for worker in range(WORKERS)]
        action()
        for task in tasks:
            task.result()
    return answers


def summary(answers):
    complete = sum(1 for _, status, body, _ in answers
                   if status == 200 and body["coverage"]["complete"])
    partial = sum(1 for _, status, body, _ in answers
                  if status == 200 and not body["coverage"]["complete"])
    refused = sum(1 for _, status, _, _ in answers if status > 200)
    broken = sum(1 for _, status, _, _ in answers if status == fleet.BROKEN)
    slowest = max(took for *_, took in answers) * 1000
    return (f"{len(answers)} answers, {complete} complete, {partial} partial, {refused} "
            f"refused, {broken} broken, slowest {slowest:.0f} ms")


def kill_target(checks, system):
    both = [one for one in system.targets
            if one.service.name == "kuechenblick" and one.shard == 3]
    answers = query_while(system, lambda: system.kill(both[0].name), 2.0,
                          list(system.entries))
    checks.check("a target is killed under load: every answer is true",
                 all(status == 200 and correct(body, "kuechenblick")
                     for _, status, body, _ in answers), summary(answers))
    system.kill(both[1].name)
    status, body = system.query("vm-4", "kuechenblick")
    checks.check("a shard without targets is reported missing, within the deadline",
                 status == 200 and correct(body, "kuechenblick")
                 and [one["shard"] for one in body["coverage"]["missing"]] == [3],
                 describe(status, body))


def kill_entry(checks, system):
    others = [name for name in system.entries if name != "vm-3"]
    answers = query_while(system, lambda: system.kill("vm-3"), 7.0, others)
    checks.check("an entry process is killed: answers at the others stay true",
                 all(status != 200 or correct(body, "kuechenblick")
                     for _, status, body, _ in answers)
                 and all(status != fleet.BROKEN for _, status, _, _ in answers), summary(answers))
    status, body = system.query("vm-1", "gaestebuch")
    checks.check("its targets have a new owner", status == 200
                 and body["coverage"]["complete"], describe(status, body))


def stop_entry(checks, system):
    answers = query_while(system, lambda: system.kill("vm-5", signal.SIGTERM), 3.0,
                          ["vm-5"])
    code = system.wait_exit("vm-5")
    told = [one for one in answers if one[1] != fleet.REFUSED]
    checks.check("SIGTERM under load cuts no request and exits 0",
                 code == 0 and told and all(
                     status == 200 or (status > 0 and body["outcome"] == "not run")
                     for _, status, body, _ in told),
                 f"exit {code}, {summary(told)}")


def main():
    checks = Checks()
    with fleet.Fleet(sys.argv[1], fleet.MEAL_SEARCH) as system:
        started = time.monotonic()
        system.start()
        print(f"{len(system.processes)} processes serve after "
              f"{time.monotonic() - started:.1f} s", flush=True)
        run_queries(checks, system)
        run_orders(checks, system)
        kill_target(checks, system)
        kill_entry(checks, system)
        stop_entry(checks, system)
        run_orders(checks, system)
    platform_demo.run(checks, sys.argv[1])
    print(f"{checks.passed} passed, {checks.failed} failed")
    return 0 if checks.failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
