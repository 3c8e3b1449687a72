"""The platform's programs at work: queries, orders and configurations while members of the core
and a front are killed and stopped. Used by scripts/demo.py."""

import signal
import struct
import time

import platform_fleet

RECORD_BYTES = 16


def gathered(answer, shards):
    """True if the response names each shard once or counts it as missing, in order."""
    status, headers, body = answer
    if status != 200:
        return False
    parts = [one.strip() for one in headers.get("Part-Stamps", "").split(",")]
    services = {part.rpartition("-")[0] for part in parts}
    records = [body[at:at + RECORD_BYTES] for at in range(0, len(body), RECORD_BYTES)]
    return (len(services) == len(parts)
            and len(parts) + int(headers.get("Missing-Parts", "0")) == shards
            and records == sorted(records, reverse=True))


def run_queries(checks, fleet):
    for vm in fleet.vms:
        answer = fleet.ask(vm, "/q/skins?tone=low", f"query-{vm}")
        checks.check(f"caller at {vm} queries {fleet.shards} shards",
                     gathered(answer, fleet.shards) and answer[1]["Missing-Parts"] == "0",
                     f"status {answer[0]}, missing {answer[1].get('Missing-Parts')}")


def run_orders(checks, fleet):
    for number, vm in enumerate(fleet.vms):
        status, headers, _ = fleet.ask(vm, "/o/new", f"order-{number}", "POST", "skin")
        checks.check(f"order through {vm}", status == 200 and headers.get("Server-Stamp"),
                     f"status {status}")


def replace_while_the_core_fails(checks, fleet):
    first, second = fleet.members[0], fleet.members[1]
    fleet.kill(first + "-core")
    started = time.monotonic()
    fleet.wait_until(lambda: fleet.replace_configuration(2) == 200, "a configuration")
    checks.check("a configuration is acknowledged after a member was killed",
                 fleet.configuration_version() == 2,
                 f"{(time.monotonic() - started) * 1000:.0f} ms")
    fleet.start_vm(first)
    fleet.kill(second + "-core")
    fleet.wait_until(lambda: fleet.replace_configuration(3) == 200, "a configuration")
    checks.check("and another one after the next", fleet.configuration_version() == 3)
    status, _ = fleet.operate("POST", "/v1/configuration/replace", struct.pack("I", 7).hex())
    checks.check("an invalid configuration is refused", status == 400, f"status {status}")


def stop_front(checks, fleet):
    vm = list(fleet.vms)[-1]
    fleet.kill(vm + "-front", signal.SIGTERM)
    answer = fleet.ask(vm, "/q/during-the-stop", "stopping")
    checks.check("a front that stops still answers what it takes",
                 gathered(answer, fleet.shards), f"status {answer[0]}")
    checks.check("and exits 0", fleet.wait_exit(vm + "-front") == 0)


def run(checks, build):
    with platform_fleet.PlatformFleet(build) as fleet:
        started = time.monotonic()
        fleet.start()
        print(f"{len(fleet.processes)} processes of the platform path serve after "
              f"{time.monotonic() - started:.1f} s", flush=True)
        run_queries(checks, fleet)
        run_orders(checks, fleet)
        replace_while_the_core_fails(checks, fleet)
        run_queries(checks, fleet)
        stop_front(checks, fleet)
