"""A backend answers 503 (not run), and a second copy of that answer follows late. Orders are not
idempotent. Exits with 1 if an order ran twice or was refused although it ran."""

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
# lev-bayern.toml: garble, "extra late": at most 0.04 of the answers, for 5 s; more than once.
GARBLED_SHARE, GARBLED_FOR_S = 0.04, 5.0
GARBLED_AT_S = tuple(range(6, 87, 10))
ORDERS_FROM_S, ORDERS_UNTIL_S = 4.0, 92.0
CLIENTS = 120
DEADLINE_MS = 8000
# The promises "not run, and never will be".
PROMISES = (408, 421, 429, 503)
ROUTE = {"name": "r-order", "host": kit.HOST, "path_prefix": "/order/", "route_kind": "unsafe",
         "timeout_ms": 8000, "target_latency_ms": 500, "priority": 2, "service": "orders",
         "max_attempts": 3}


async def client(fleet, record, begin, number, answers):
    """Sends one order after the other. It asks again after a promise, when it is told to."""
    front = fleet.machines[number % len(fleet.machines)]
    await asyncio.sleep(max(0.0, begin + ORDERS_FROM_S - time.monotonic()))
    while time.monotonic() < begin + ORDERS_UNTIL_S:
        order = kit.new_attempt()
        for _ in range(2):
            attempt = kit.new_attempt()
            status, headers, _ = await kit.exchange(
                front.address, kit.FRONT_PORT, "POST", f"/order/{order}", b"one crate",
                {"Host": kit.HOST, "Attempt-Id": attempt,
                 "Deadline-Milliseconds": str(DEADLINE_MS)}, DEADLINE_MS / 1000)
            answers[attempt] = status
            record.add(f"client {number}: order {order} attempt {attempt} -> {status}")
            if status not in PROMISES:
                break
            await asyncio.sleep(min(float(headers.get("retry-after", 0.05)), 2.0))
        await asyncio.sleep(random.uniform(0.01, 0.04))


async def garble(backend, record, begin):
    for at in GARBLED_AT_S:
        await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
        record.add(f"backend {backend.id} begins to send second copies")
        backend.extra_share, backend.extra_delay_s = GARBLED_SHARE, (0.005, 0.03)
        await asyncio.sleep(GARBLED_FOR_S)
        backend.extra_share = 0.0


async def main():
    record = kit.Record(os.path.join(FOLDER, "record.txt"))
    async with kit.Fleet(record, kit.LEV_BAYERN_ZONES, kit.LEV_BAYERN_BOUNDS) as fleet:
        platform = kit.Platform(fleet)
        # One backend, which the orders keep nearly full.
        backend = kit.Backend(platform, record, "orders", "ettal", f"{fleet.subnet}.200",
                              slots=4, queue=4, work_s=0.008)
        await backend.start()
        await platform.start()
        fleet.start()
        operator = kit.Operator(fleet, record)
        document = kit.configuration(7, [ROUTE], [kit.service_entry("orders", 26)])
        if await operator.replace(document) != 200 or not await kit.wait_ready(fleet):
            record.add("the deployment did not start")
            return 2
        begin, answers = time.monotonic(), {}
        work = [client(fleet, record, begin, number, answers) for number in range(CLIENTS)]
        if TROUBLE:
            work.append(garble(backend, record, begin))
        await asyncio.gather(*work)
        await asyncio.sleep(1.0)
        ended = fleet.ended_by_themselves()
    runs = collections.Counter(attempt for _, attempt in backend.runs)
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [attempt for attempt, status in answers.items()
               if status in PROMISES and runs[attempt] > 0]
    record.add(f"attempts {len(answers)}, answers {dict(collections.Counter(answers.values()))}, "
               f"second copies {backend.extra_answers}")
    record.add(f"TWICE: {len(twice)} {twice[:10]}")
    record.add(f"REFUSED: {len(refused)} {refused[:10]}")
    if ended or not answers:
        record.add(f"processes that ended: {ended}")
        return 2
    return 1 if twice or refused else 0


sys.exit(kit.run(main))
