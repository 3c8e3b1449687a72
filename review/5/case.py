"""A backend turns slow and is then taken away as planned. Orders wait for a connection to it in
a front. Exits with 1 if an order reached it later than drain_timeout_ms after the platform's list
showed it as draining."""

import asyncio
import collections
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import fleet as kit

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# lev-bayern.toml: srv_slow, at most x = 12.0 for 8.0 s and 0.4 of the backends; here one of three.
SLOW_FACTOR, SLOW_FOR_S = 12.0, 8.0
SLOW_AT_S, DRAIN_AT_S, ORDERS_UNTIL_S = 5.0, 5.5, 18.0
# A backend that leaves serves a little longer than drain_timeout_ms, sometimes many seconds.
EXTRA_SERVICE_S = 3.0
CLIENTS_OF_ONE_FRONT, CLIENTS_OF_OTHERS = 60, 1
DEADLINE_MS = 8000
ROUTE = {"name": "r-order", "host": kit.HOST, "path_prefix": "/order/", "route_kind": "unsafe",
         "timeout_ms": 8000, "target_latency_ms": 500, "priority": 2, "service": "orders",
         "max_attempts": 2}


async def client(front, record, begin, answers):
    while time.monotonic() < begin + ORDERS_UNTIL_S:
        attempt = kit.new_attempt()
        sent = time.monotonic()
        status, _, _ = await kit.exchange(
            front.address, kit.FRONT_PORT, "POST", "/order/new", b"one crate",
            {"Host": kit.HOST, "Attempt-Id": attempt,
             "Deadline-Milliseconds": str(DEADLINE_MS)}, DEADLINE_MS / 1000)
        answers[attempt] = status
        record.add(f"client: {attempt} by {front.name} sent {time.monotonic() - sent:.3f} s ago"
                   f" -> {status}")
        await asyncio.sleep(random.uniform(0.02, 0.06))


async def leave(leaving, record, begin):
    """The planned work and, before it, the disruption."""
    await asyncio.sleep(max(0.0, begin + SLOW_AT_S - time.monotonic()))
    if TROUBLE:
        record.add(f"backend {leaving.id} turns slow")
        leaving.slow_factor = SLOW_FACTOR
    await asyncio.sleep(max(0.0, begin + DRAIN_AT_S - time.monotonic()))
    record.add(f"backend {leaving.id} is to leave")
    leaving.draining = True
    while leaving.shown_draining_at is None:
        await asyncio.sleep(0.01)
    end = leaving.shown_draining_at + kit.LEV_BAYERN_BOUNDS["drain_timeout_ms"] / 1000
    await asyncio.sleep(max(0.0, end + EXTRA_SERVICE_S - time.monotonic()))
    leaving.end()


async def main():
    record = kit.Record(os.path.join(FOLDER, "record.txt"))
    bound_s = kit.LEV_BAYERN_BOUNDS["drain_timeout_ms"] / 1000
    async with kit.Fleet(record, kit.LEV_BAYERN_ZONES, kit.LEV_BAYERN_BOUNDS) as fleet:
        platform = kit.Platform(fleet)
        # The slots, queue and connections of kuechenblick's backends, the work of einkauf's.
        leaving, *staying = [
            kit.Backend(platform, record, "orders", zone, f"{fleet.subnet}.{200 + place}",
                        slots=2, queue=12, work_s=0.12)
            for place, zone in enumerate(("ettal", "andechs", "frauenchiemsee"))]
        for one in (leaving, *staying):
            await one.start()
        await platform.start()
        fleet.start()
        operator = kit.Operator(fleet, record)
        document = kit.configuration(7, [ROUTE], [kit.service_entry("orders", 27)])
        if await operator.replace(document) != 200 or not await kit.wait_ready(fleet):
            record.add("the deployment did not start")
            return 2
        begin, answers = time.monotonic(), {}
        work = [leave(leaving, record, begin)]
        for place, front in enumerate(fleet.machines):
            count = CLIENTS_OF_ONE_FRONT if place == 0 else CLIENTS_OF_OTHERS
            work += [client(front, record, begin, answers) for _ in range(count)]
        await asyncio.gather(*work)
        ended = fleet.ended_by_themselves()
    late = [(at - leaving.shown_draining_at, attempt) for at, attempt in leaving.arrivals
            if at - leaving.shown_draining_at > bound_s]
    record.add(f"answers {dict(collections.Counter(answers.values()))}")
    record.add(f"orders that reached the leaving backend too late and had no success: "
               f"{sum(1 for _, attempt in late if answers[attempt] != 200)}")
    record.add(f"DRAIN: {len(late)} requests later than {bound_s} s after the list showed it: "
               + ", ".join(f"{attempt} {after:.3f} s" for after, attempt in late[:10]))
    if ended or not leaving.arrivals:
        record.add(f"processes that ended: {ended}")
        return 2
    return 1 if late else 0


sys.exit(kit.run(main))
