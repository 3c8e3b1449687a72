"""Starts the platform's programs of this repository on loopback, with the commands of
deploy/system.toml, and stands in for the platform, the backends, the operator and the clients.

Each machine has a loopback address of its own. Every process that is started here is ended by
its process id when the Fleet is left.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "kitchen.example"
PAGE_ENTRIES = 50


def free_ports(count):
    """The first of `count` ports in a row that nobody uses, below the ephemeral ones."""
    while True:
        first = random.randint(20000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.create_server(("127.0.0.1", port)))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()


FIRST_PORT = free_ports(20)
FRONT_PORT, CONTROL_PORT, READY_PORT, LIST_PORT = range(FIRST_PORT, FIRST_PORT + 4)
INTERNAL_PORTS = (FIRST_PORT + 4, FIRST_PORT + 19)


def run(main):
    """The exit status of a case: what main() returns, or 2 if it ended in any other way. A SIGTERM
    ends it in order, so that the processes are ended too."""
    async def cancellable():
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        return asyncio.run(cancellable())
    except BaseException:
        traceback.print_exc()
        return 2


class Record:
    """The events of one run, in seconds since its start; written to a file at once."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1 << 16)
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


class Machine:
    def __init__(self, name, zone, address, has_disk, has_core):
        self.name, self.zone, self.address = name, zone, address
        self.has_disk, self.has_core = has_disk, has_core


class Fleet:
    """The machines of one deployment. `zones` maps a zone to its number of machines; the first
    one of each zone has a disk, and `core_count` machines of each zone run the core."""

    def __init__(self, record, zones, bounds, tolerance=1, core_count=2):
        self.record = record
        self.zones, self.bounds, self.tolerance = zones, bounds, tolerance
        self.folder = tempfile.mkdtemp(prefix="curranthoist-review-")
        self.subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.list_address = f"{self.subnet}.250"
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.machines = []
        for zone, count in zones.items():
            for index in range(count):
                number = len(self.machines) + 1
                self.machines.append(Machine(
                    f"front-{zone}-{index + 1}", zone, f"{self.subnet}.{number}",
                    has_disk=index == 0, has_core=index < core_count))
        self.processes = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def machine(self, name):
        return next(one for one in self.machines if one.name == name)

    def control_machines(self):
        return [one for one in self.machines if one.has_core]

    def data_folder(self, machine):
        return os.path.join(self.folder, machine.name, "data")

    def settings(self, machine, role, first):
        serves = self.roles[role]["serves"]
        lines = {
            "node_name": machine.name, "role": role, "machine_class": "front",
            "serves": ",".join(serves), "ip_address": machine.address,
            "zone": machine.zone, "region": "obb"}
        lines.update({f"zones.{zone}": "obb" for zone in self.zones})
        if "front" in serves:
            lines["listen_addresses.front"] = f"{machine.address}:{FRONT_PORT}"
            lines["listen_addresses.ready"] = f"{machine.address}:{READY_PORT}"
        if "control" in serves:
            lines["listen_addresses.control"] = f"{machine.address}:{CONTROL_PORT}"
        with_disk = [one for one in self.machines if one.has_disk]
        seeds = ",".join(f"{one.address}:{CONTROL_PORT}" for one in with_disk[:3])
        lines.update({
            "internal_port_range": f"{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}",
            "seed_nodes": seeds, "first_start": "true" if first else "false",
            "loss_counts": "true" if machine.has_disk else "false",
            "limits.cpu_share": 0.45, "limits.cpu_cores": 1, "limits.memory_mb": 260,
            "limits.max_file_descriptors": 4100, "limits.link_mbps": 1000.0,
            "data_directory": self.data_folder(machine) if machine.has_disk else "",
            "discovery": "cloud", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,scatter,places",
            "fault_tolerance.machines": self.tolerance, "fault_tolerance.zones": 1,
            "fault_tolerance.regions": 0})
        lines.update({f"bounds.{name}": value for name, value in self.bounds.items()})
        lines.update({
            "config_mode": "highest",
            "cloud_api.address": f"{self.list_address}:{LIST_PORT}",
            "cloud_api.rate_per_s": 50.0, "cloud_api.duties": "",
            "cloud_api.max_lag_ms": 800})
        path = os.path.join(self.folder, f"{machine.name}-{role}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in lines.items())
        return path

    def start_process(self, machine, role, first=False):
        if machine.has_disk:
            os.makedirs(self.data_folder(machine), exist_ok=True)
        path = self.settings(machine, role, first)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CURRANTHOIST_BOOT"] = path
        key = f"{machine.name}/{role}"
        with open(os.path.join(self.folder, key.replace("/", "-") + ".log"), "ab") as log:
            self.processes[key] = subprocess.Popen(
                self.roles[role]["run"].split(), cwd=REPOSITORY, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        self.record.add(f"machine {machine.name} starts {role}, first_start={first}")

    def start(self):
        for machine in self.machines:
            if machine.has_core:
                self.start_process(machine, "core", first=True)
            self.start_process(machine, "front", first=True)

    def kill(self, machine, role):
        process = self.processes.pop(f"{machine.name}/{role}")
        process.kill()
        process.wait()
        self.record.add(f"machine {machine.name}: SIGKILL to {role}")

    def wipe(self, machine):
        shutil.rmtree(self.data_folder(machine))
        self.record.add(f"machine {machine.name} loses its disk")

    def log_of(self, machine, role):
        with open(os.path.join(self.folder, f"{machine.name}-{role}.log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    def leader(self):
        """The machine whose core last said that it leads, among those that run."""
        newest, found = "", None
        for machine in self.control_machines():
            process = self.processes.get(f"{machine.name}/core")
            if process is None or process.poll() is not None:
                continue
            lines = [line for line in self.log_of(machine, "core").splitlines()
                     if "event=leadership_" in line]
            if lines and "leadership_gained" in lines[-1] and lines[-1] > newest:
                newest, found = lines[-1], machine
        return found

    def ended_by_themselves(self):
        return [key for key, process in self.processes.items() if process.poll() is not None]


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def exchange(address, port, method, path, body=b"", headers=None, limit_s=1.0):
    """One call on a connection of its own. Status 0 if no whole response came in time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(address, port)
            lines = [f"{method} {path} HTTP/1.1"]
            for name, value in (headers or {"Host": f"{address}:{port}"}).items():
                lines.append(f"{name}: {value}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            status_line, answer = await read_head(reader)
            return int(status_line.split()[1]), answer, await read_body(reader, answer)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends an order as the pages say: to any machine that serves control, following a 307
    twice, and again to the next one, with growing pauses, until it has a clear response."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def call(self, method, path, body=b"", limit_s=30.0):
        end = time.monotonic() + limit_s
        pause = 0.1
        machines = list(self.fleet.control_machines())
        random.shuffle(machines)
        turn = 0
        while time.monotonic() < end:
            address, port = machines[turn % len(machines)].address, CONTROL_PORT
            turn += 1
            for _ in range(3):
                status, headers, answer = await exchange(
                    address, port, method, path, body,
                    {"Host": f"{address}:{port}", "Content-Type": "application/json"})
                if status != 307:
                    break
                rest = headers["location"].removeprefix("http://")
                address, _, port = rest.partition("/")[0].partition(":")
                port = int(port)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, answer
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return 0, b""

    async def replace(self, configuration, limit_s=30.0):
        status, _ = await self.call("POST", "/v1/configuration/replace",
                                    json.dumps(configuration).encode(), limit_s)
        self.record.add(f"operator: configuration {configuration['version']} -> {status}")
        return status

    async def read(self, limit_s=10.0):
        status, body = await self.call("GET", "/v1/configuration/get", b"", limit_s)
        version = json.loads(body)["version"] if status == 200 else None
        self.record.add(f"operator: read -> {status}, version {version}")
        return version


class Platform:
    """The list of backends. What it shows lags behind by `lag_s`."""

    def __init__(self, fleet, lag_s=0.3):
        self.fleet, self.lag_s = fleet, lag_s
        self.backends = []
        self.server = None
        self.shown = []

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.fleet.list_address, LIST_PORT)
        self.refresh_task = asyncio.create_task(self.refresh())

    async def refresh(self):
        history = []
        while True:
            now = time.monotonic()
            history.append((now, [one.entry() for one in self.backends if one.listed]))
            while len(history) > 1 and history[1][0] <= now - self.lag_s:
                history.pop(0)
            if history[0][0] <= now - self.lag_s:
                shown = history[0][1]
                for entry in shown:
                    if entry["state"] == "draining":
                        owner = next(one for one in self.backends if one.id == entry["id"])
                        if owner.shown_draining_at is None:
                            owner.shown_draining_at = now
                            self.fleet.record.add(f"list shows {entry['id']} as draining")
                self.shown = shown
            await asyncio.sleep(0.05)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                _, _, query = line.split()[1].partition("?")
                arguments = dict(one.split("=", 1) for one in query.split("&") if "=" in one)
                begin = int(arguments.get("page_token", "p-0").removeprefix("p-"))
                entries = [entry for entry in self.shown
                           if arguments.get("zone", entry["zone"]) == entry["zone"]]
                end = begin + PAGE_ENTRIES
                body = json.dumps({
                    "instances": entries[begin:end],
                    "next_page_token": f"p-{end}" if end < len(entries) else None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Backend:
    """A sound backend: `slots` requests at a time and a short queue, 503 with Not-Executed when
    it is full or the deadline passed in the queue, 421 for another Expected-Instance."""

    def __init__(self, platform, record, service, zone, address, slots, queue, work_s):
        self.record, self.service, self.zone = record, service, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address, self.port = address, None
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.slow_factor = 1.0
        self.draining, self.listed = False, True
        self.shown_draining_at = None
        # The share of answers of which a second copy follows late, and its delay.
        self.extra_share, self.extra_delay_s = 0.0, (0.0, 0.0)
        self.working, self.waiting = 0, []
        self.runs, self.arrivals, self.extra_answers = [], [], 0
        self.writers = set()
        platform.backends.append(self)

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0, "id": self.id, "born": 1764900000000}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self):
        self.listed = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add(f"backend {self.id} ends")

    async def take_slot(self, deadline):
        """True with a slot; False if it is full or the deadline passes in the queue."""
        if self.working < self.slots:
            self.working += 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                await turn
            return True
        except asyncio.TimeoutError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                self.free_slot()
            return False

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.working -= 1

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                answer = await self.answer(line, headers, reader)
                if answer is None:
                    return
                writer.write(answer)
                if "attempt-id" in headers and random.random() < self.extra_share:
                    self.extra_answers += 1
                    asyncio.create_task(self.send_copy(writer, answer, headers["attempt-id"]))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send_copy(self, writer, answer, attempt):
        await asyncio.sleep(random.uniform(*self.extra_delay_s))
        if not writer.is_closing():
            status = answer.split(b" ", 2)[1].decode()
            self.record.add(f"backend {self.id}: second copy of the {status} to {attempt}")
            writer.write(answer)

    async def answer(self, line, headers, reader):
        method, path, _ = line.split()
        if path == "/health":
            healthy = not self.draining
            return (f"HTTP/1.1 {'200 OK' if healthy else '503 Service Unavailable'}\r\n"
                    f"Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n").encode()
        attempt = headers.get("attempt-id")
        deadline = time.monotonic() + float(headers.get("deadline-milliseconds", 1e4)) / 1e3
        now = time.monotonic()
        self.arrivals.append((now, attempt))
        if attempt is None:
            return self.rejection("400 Bad Request", "none")
        expected = headers.get("expected-instance")
        if expected is not None and expected != self.id:
            return self.rejection("421 Misdirected Request", attempt)
        if not await self.take_slot(deadline):
            self.record.add(f"backend {self.id}: 503, not run: {attempt}")
            return self.rejection("503 Service Unavailable", attempt)
        if reader.at_eof():
            # The connection was closed in the meantime; nothing runs.
            self.free_slot()
            return None
        try:
            self.runs.append((time.monotonic(), attempt))
            self.record.add(f"backend {self.id}: runs {method} {path} {attempt}")
            await asyncio.sleep(self.work_s * self.slow_factor)
        finally:
            self.free_slot()
        content = f"done {attempt}".encode()
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {self.id}.{attempt}"
                f"\r\nContent-Length: {len(content)}\r\n\r\n").encode() + content

    @staticmethod
    def rejection(status, attempt):
        return (f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n").encode()


def new_attempt():
    return f"{random.getrandbits(64):016x}"


async def wait_ready(fleet, limit_s=25.0):
    """True once every front answers the readiness question with 200."""
    end = time.monotonic() + limit_s
    for machine in fleet.machines:
        while (await exchange(machine.address, READY_PORT, "GET", "/v1/readiness"))[0] != 200:
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.1)
    return True


def service_entry(name, max_connections):
    return {"name": name, "health_check_path": "/health", "max_connections": max_connections,
            "protocol": "h1", "tls_enabled": False, "cold_start_s": 3.0, "cold_per_s": 0.0}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


# The bounds and machines of sites/lev-bayern.toml.
LEV_BAYERN_ZONES = {"ettal": 3, "andechs": 3, "benediktbeuern": 2, "frauenchiemsee": 2}
LEV_BAYERN_BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000,
    "catch_up_s": 4, "drain_timeout_ms": 3000, "grace_period_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 60,
    "cold_burst_factor": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12}
# Those of grown/lev-bayern-grown.toml, with two of its machines in each zone.
GROWN_ZONES = {"ettal": 2, "andechs": 2, "benediktbeuern": 2, "frauenchiemsee": 2,
               "scheyern": 2}
GROWN_BOUNDS = dict(LEV_BAYERN_BOUNDS, contact_ms=5000, ack_timeout_ms=6000, catch_up_s=6,
                    drain_timeout_ms=4000, config_apply_ms=4000, max_skew_ms=15000,
                    retry_budget_slack=166, recovery_s=15)
