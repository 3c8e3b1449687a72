"""An operator sends an invalid configuration. Exits with 1 if processes of the core end by
themselves three times or more on half of it, and 0 if they answer with a 4xx."""

import asyncio
import collections
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import fleet as kit

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A route's service is a list in a list and so on; without the disruption it is an unknown name.
DEPTH = 400_000
INVALID_FROM_S, VALID_AT_S, ORDERS_UNTIL_S = 5.0, 10.0, 35.0
RESTART_AFTER_S = 0.5
ENDS_THAT_COUNT = 3
ROUTE = {"name": "r-order", "host": kit.HOST, "path_prefix": "/order/", "route_kind": "safe",
         "timeout_ms": 2000, "target_latency_ms": 500, "priority": 2, "service": "orders",
         "max_attempts": 2}


def document(version):
    return kit.configuration(version, [ROUTE], [kit.service_entry("orders", 46)])


def invalid_document(version):
    text = json.dumps(document(version))
    service = "[" * DEPTH + "]" * DEPTH if TROUBLE else '"nowhere"'
    return text.replace('"service": "orders"', '"service": ' + service).encode()


async def restart_ended(fleet, record, ends, until):
    """The platform starts a process that has ended again after a short delay."""
    while time.monotonic() < until:
        for key, process in list(fleet.processes.items()):
            status = process.poll()
            if status is None:
                continue
            del fleet.processes[key]
            ends[key] += 1
            record.add(f"{key} ended by itself, status {status}")
            name, role = key.split("/")
            asyncio.get_running_loop().call_later(
                RESTART_AFTER_S, fleet.start_process, fleet.machine(name), role)
        await asyncio.sleep(0.05)


async def send_invalid(operator, record, begin):
    await asyncio.sleep(max(0.0, begin + INVALID_FROM_S - time.monotonic()))
    body = invalid_document(9)
    status, _ = await operator.call("POST", "/v1/configuration/replace", body,
                                    begin + ORDERS_UNTIL_S - time.monotonic())
    record.add(f"operator: invalid configuration of {len(body)} bytes -> {status}")
    return status


async def send_valid(operator, begin):
    await asyncio.sleep(max(0.0, begin + VALID_AT_S - time.monotonic()))
    sent = time.monotonic()
    status = await operator.replace(document(11), begin + ORDERS_UNTIL_S - sent)
    return status, time.monotonic() - sent


async def main():
    record = kit.Record(os.path.join(FOLDER, "record.txt"))
    async with kit.Fleet(record, kit.LEV_BAYERN_ZONES, kit.LEV_BAYERN_BOUNDS) as fleet:
        platform = kit.Platform(fleet)
        backend = kit.Backend(platform, record, "orders", "ettal", f"{fleet.subnet}.200",
                              slots=4, queue=16, work_s=0.02)
        await backend.start()
        await platform.start()
        fleet.start()
        operator = kit.Operator(fleet, record)
        if await operator.replace(document(7)) != 200 or not await kit.wait_ready(fleet):
            record.add("the deployment did not start")
            return 2
        begin, ends = time.monotonic(), collections.Counter()
        _, invalid, (valid, took) = await asyncio.gather(
            restart_ended(fleet, record, ends, begin + ORDERS_UNTIL_S),
            send_invalid(operator, record, begin), send_valid(operator, begin))
        await asyncio.sleep(RESTART_AFTER_S + 0.5)
        # The core: the machines with a disk that serve control.
        core = [one for one in fleet.control_machines() if one.has_disk]
        often = [one.name for one in core if ends[f"{one.name}/core"] >= ENDS_THAT_COUNT]
    record.add(f"invalid configuration: {invalid} (0: no clear response); a valid one sent "
               f"meanwhile: {valid} after {took:.1f} s")
    record.add(f"Fault: processes that ended by themselves {dict(ends)}; three times or more on "
               f"{len(often)} of {len(core)} machines of the core")
    if not ends and not 400 <= invalid < 500:
        return 2
    return 1 if len(often) * 2 >= len(core) else 0


sys.exit(kit.run(main))
