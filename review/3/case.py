"""Clients send queries and orders whose header lines stay within max_header_bytes. Exits with 1
if a front passed more than three of them from kept connections on and closed the connection
without an answer."""

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
# The configuration's max_header_bytes is 16384; a request's line and headers stay below.
HEAD_BYTES = (8000, 16000) if TROUBLE else (1000, 8000)
FIRST_HEAD_BYTES = 1000
CLIENTS, REQUESTS_OF_A_CLIENT = 20, 60
DEADLINE_MS = 3000
SHARDS = [f"shard-{number}" for number in range(20)]
COMMON = {"host": kit.HOST, "timeout_ms": 3000, "priority": 2, "max_attempts": 2}
ROUTES = [
    dict(COMMON, name="r-order", path_prefix="/order/", route_kind="unsafe",
         target_latency_ms=500, service="orders"),
    # diet-check of lev-bayern.toml.
    dict(COMMON, name="r-query", path_prefix="/query/", route_kind="safe",
         target_latency_ms=120, shard_services=SHARDS, top_k=20, min_shard_share=0.89)]


def request_text(attempt, head_bytes, order):
    """A request whose line and headers have `head_bytes`, a cookie most of them."""
    body = b"one crate" if order else b""
    lines = ["POST /order/new HTTP/1.1" if order else "GET /query/milk HTTP/1.1",
             f"Host: {kit.HOST}", f"Attempt-Id: {attempt}",
             f"Deadline-Milliseconds: {DEADLINE_MS}", f"Content-Length: {len(body)}",
             "Cookie: session="]
    head = "\r\n".join(lines).encode()
    return head + b"c" * (head_bytes - len(head) - 4) + b"\r\n\r\n" + body


class KeptConnection:
    def __init__(self, address):
        self.address, self.reader, self.writer, self.answers = address, None, None, 0

    async def ask(self, text):
        """The status; 0 if the connection ended without an answer."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.address, kit.FRONT_PORT)
            self.answers = 0
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
                self.writer.write(text)
                status_line, headers = await kit.read_head(self.reader)
                await kit.read_body(self.reader, headers)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return 0
        self.answers += 1
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(status_line.split()[1])

    def close(self):
        self.writer.close()
        self.writer = None


async def client(front, record, outcomes):
    connection = KeptConnection(front.address)
    for number in range(REQUESTS_OF_A_CLIENT):
        if connection.writer is None:
            # The first request of a connection is a small one.
            await connection.ask(request_text(kit.new_attempt(), FIRST_HEAD_BYTES, True))
        attempt = kit.new_attempt()
        size = random.randint(*HEAD_BYTES)
        kept = connection.answers > 0
        status = await connection.ask(request_text(attempt, size, number % 2 == 0))
        outcomes[attempt] = (status, size, kept)
        record.add(f"client: {attempt} by {front.name}, head of {size} bytes, "
                   f"kept connection {kept} -> {status or 'closed without an answer'}")
        await asyncio.sleep(random.uniform(0.02, 0.1))


async def main():
    record = kit.Record(os.path.join(FOLDER, "record.txt"))
    async with kit.Fleet(record, kit.LEV_BAYERN_ZONES, kit.LEV_BAYERN_BOUNDS) as fleet:
        platform = kit.Platform(fleet)
        backends = [kit.Backend(platform, record, service, zone, f"{fleet.subnet}.{200 + place}",
                                slots=4, queue=16, work_s=0.01)
                    for service in ("orders", *SHARDS)
                    for place, zone in enumerate(("ettal", "andechs"))]
        for one in backends:
            await one.start()
        await platform.start()
        fleet.start()
        operator = kit.Operator(fleet, record)
        document = kit.configuration(7, ROUTES, [kit.service_entry(name, 46)
                                                 for name in ("orders", *SHARDS)])
        if await operator.replace(document) != 200 or not await kit.wait_ready(fleet):
            record.add("the deployment did not start")
            return 2
        # contact_ms after the start, all machines are in touch.
        await asyncio.sleep(kit.LEV_BAYERN_BOUNDS["contact_ms"] / 1000 + 1.0)
        outcomes = {}
        await asyncio.gather(*(client(fleet.machines[number % len(fleet.machines)], record,
                                      outcomes) for number in range(CLIENTS)))
        ended = fleet.ended_by_themselves()
    runs = collections.Counter(attempt for one in backends for _, attempt in one.runs)
    lost = [(attempt, size) for attempt, (status, size, kept) in outcomes.items()
            if status == 0 and kept and runs[attempt] > 0]
    rejected = [size for status, size, _ in outcomes.values() if status == 431]
    record.add(f"answers {dict(collections.Counter(one[0] for one in outcomes.values()))}")
    record.add(f"431 to proper requests (DENIED): {len(rejected)} of {len(outcomes)}, heads of "
               f"{min(rejected, default=0)} to {max(rejected, default=0)} bytes")
    record.add(f"LOST: {len(lost)} requests ran and had no answer: "
               + ", ".join(f"{attempt} ({size} bytes)" for attempt, size in lost[:10]))
    if ended or not outcomes:
        record.add(f"processes that ended: {ended}")
        return 2
    return 1 if len(lost) > 3 else 0


sys.exit(kit.run(main))
