"""A leader that was frozen publishes its old list under its successor's term: a front keeps it."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-ins-3"))
from fleet import (FRONT, Fleet, Platform, Server, call, configuration, message, play,  # noqa: E402
                   read_message, route, service)

PREFIX = "127.81"
FRONTS, MEMBERS = 36, 4
BOOKS, DESKS = 6, 49
FIRST_PAGE_S = 0.2
FREEZE_S = 0.68
ROUNDS = 6
CHANGES = 3
CONTACT_S, DRAIN_TIMEOUT_S, STAYS_S = 4.0, 3.0, 3.0
BEGIN_S = 95.0
REQUEST_GAP_S = 0.02


class SnapshotPlatform(Platform):
    """Makes a copy of the list for the first page, which takes a while, and serves the other
    pages of the reading from it."""

    on_reading = None

    async def serve(self, reader, writer):
        copy = []
        try:
            while True:
                start, _, _ = await read_message(reader)
                first = int(start.split()[1].partition("page_token=p-")[2] or 0)
                if first == 0:
                    if self.on_reading:
                        self.on_reading.set()
                    await asyncio.sleep(FIRST_PAGE_S)
                    copy = self.entries()
                more = first + self.page < len(copy)
                body = {"instances": copy[first:first + self.page],
                        "next_page_token": f"p-{first + self.page}" if more else None}
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"},
                                     json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            writer.close()


async def freeze(fleet, node):
    """The machine stands still while its core process waits for a page of the list."""
    fleet.platform.on_reading = asyncio.Event()
    await fleet.platform.on_reading.wait()
    fleet.platform.on_reading = None
    for number, pause in ((signal.SIGSTOP, FREEZE_S), (signal.SIGCONT, 0.0)):
        for role in ("core", "front"):
            fleet.signal(node, role, number)
        await asyncio.sleep(pause)


async def orders_during(fleet, nodes, seconds, tag):
    """Sends orders to the fronts of some nodes, one after the other on each."""
    end = fleet.record.now() + seconds

    async def client(node):
        k = 0
        while fleet.record.now() < end:
            k += 1
            attempt = f"{tag}-{node}-{k}"
            fleet.record.add(f"sent attempt={attempt} node={node}")
            status, _, _ = await call(fleet.address(node), FRONT, "POST", "/book/x",
                                      {"Attempt-Id": attempt,
                                       "Deadline-Milliseconds": "2000"}, b"an order")
            fleet.record.add(f"answered attempt={attempt} status={status}")
            await asyncio.sleep(REQUEST_GAP_S)

    await asyncio.gather(*(client(node) for node in nodes))


async def case(folder, trouble):
    fleet = Fleet(folder, PREFIX, nodes=FRONTS, members=MEMBERS, cores=MEMBERS)
    fleet.platform = SnapshotPlatform(fleet, f"{PREFIX}.1.1")
    try:
        for n in range(BOOKS + DESKS):
            fleet.servers.append(Server(fleet, f"i-{n:03}", "book" if n < BOOKS else "desk",
                                        f"{PREFIX}.2.{n + 1}"))
        await fleet.start(configuration(
            5, [route("r-book", "/book/", "unsafe", service="book"),
                route("r-desk", "/desk/", service="desk")], [service("book"), service("desk")]))
        late = []
        for turn in range(ROUNDS):
            if late or fleet.record.now() > BEGIN_S - 15.0:
                break
            # Servers are added, so that the leader has published some lists.
            for k in range(CHANGES):
                await fleet.platform_adds(Server(fleet, f"i-1{turn}{k}", "desk",
                                                 f"{PREFIX}.3.{turn * CHANGES + k + 1}"))
                await asyncio.sleep(1.0)
            leaders = await fleet.leaders(range(1, MEMBERS + 1))
            if trouble:
                await freeze(fleet, leaders[0])
            await asyncio.sleep(CONTACT_S + 0.5)
            server = Server(fleet, f"i-b{turn}", "book", f"{PREFIX}.4.{turn + 1}")
            leaving = next(one for one in fleet.servers
                           if one.service == "book" and one.state == "ready")
            await fleet.platform_adds(server)
            leaving.state = "draining"
            listed_at = fleet.record.now()
            fleet.record.add(f"server {leaving.ident} of book is listed as draining")
            await orders_during(fleet, leaders, DRAIN_TIMEOUT_S + STAYS_S, f"t{turn}")
            late = [run for run in leaving.runs if run[0] > listed_at + DRAIN_TIMEOUT_S + 0.2]
            fleet.record.add(f"orders that reached {leaving.ident} later than "
                             f"{DRAIN_TIMEOUT_S + 0.2:.1f} s after that: {len(late)}")
            leaving.leave()
        return not late
    finally:
        fleet.close()


play(case, HERE)
