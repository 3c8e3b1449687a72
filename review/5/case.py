"""At the first start, the machine of the first seed loses its power and its disk and is back a
second later. Exits with 1 if no configuration is acknowledged and no request served from then on."""

import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import fleet as kit

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOSS_AT_S, DOWN_S = 0.3, 1.0
# Far above ack_timeout_ms (5 s), catch_up_s (4 s) and recovery_s (12 s).
ORDERS_UNTIL_S = 60.0
REQUESTS_FROM_S = 30.0
ROUTE = {"name": "r-order", "host": kit.HOST, "path_prefix": "/order/", "route_kind": "safe",
         "timeout_ms": 2000, "target_latency_ms": 500, "priority": 2, "service": "orders",
         "max_attempts": 2}


async def lose_first_seed(fleet):
    machine = next(one for one in fleet.machines if one.has_disk)
    await asyncio.sleep(LOSS_AT_S)
    for role in ("core", "front"):
        fleet.kill(machine, role)
    fleet.wipe(machine)
    await asyncio.sleep(DOWN_S)
    for role in ("core", "front"):
        fleet.start_process(machine, role, first=False)


async def ask_all(fleet, record, begin):
    """Clients ask every front once a second."""
    answers = collections.Counter()
    await asyncio.sleep(max(0.0, begin + REQUESTS_FROM_S - time.monotonic()))
    while time.monotonic() < begin + ORDERS_UNTIL_S:
        for front in fleet.machines:
            status, _, _ = await kit.exchange(
                front.address, kit.FRONT_PORT, "GET", "/order/1", b"",
                {"Host": kit.HOST, "Attempt-Id": kit.new_attempt(),
                 "Deadline-Milliseconds": "2000"}, 2.0)
            answers[status] += 1
        record.add(f"clients: answers so far {dict(answers)}")
        await asyncio.sleep(1.0)
    return answers


async def main():
    record = kit.Record(os.path.join(FOLDER, "record.txt"))
    async with kit.Fleet(record, kit.LEV_BAYERN_ZONES, kit.LEV_BAYERN_BOUNDS) as fleet:
        platform = kit.Platform(fleet)
        backend = kit.Backend(platform, record, "orders", "ettal", f"{fleet.subnet}.200",
                              slots=4, queue=16, work_s=0.02)
        await backend.start()
        await platform.start()
        begin = time.monotonic()
        fleet.start()
        operator = kit.Operator(fleet, record)
        work = [operator.replace(kit.configuration(7, [ROUTE], [kit.service_entry("orders", 46)]),
                                 ORDERS_UNTIL_S),
                ask_all(fleet, record, begin)]
        if TROUBLE:
            work.append(lose_first_seed(fleet))
        status, answers, *_ = await asyncio.gather(*work)
        for machine in fleet.control_machines():
            for line in fleet.log_of(machine, "core").splitlines():
                if "log_founded" in line or "identity_created" in line or "leadership" in line:
                    record.add(f"log of {machine.name}: {line}")
        ended = fleet.ended_by_themselves()
    record.add(f"Fault: the first configuration's status {status} (0: none in "
               f"{ORDERS_UNTIL_S} s), answers to clients {dict(answers)}")
    if ended:
        record.add(f"processes that ended: {ended}")
        return 2
    return 1 if status != 200 and answers[200] == 0 else 0


sys.exit(kit.run(main))
