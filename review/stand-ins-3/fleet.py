"""Stand-ins for the cases 11 to 15: the platform's list, servers, clients and the operator, and
the project's own programs as processes. Only loopback addresses are used. Every address begins
with PREFIX; the node number n has the address PREFIX.0.n, stand-ins have PREFIX.1.n."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

PORTS = 40


def free_ports():
    """The first of PORTS ports in a row that nobody uses on any address."""
    for _ in range(200):
        first = random.randrange(20000, 30000, PORTS)
        held = []
        try:
            for port in range(first, first + PORTS):
                held.append(socket.socket())
                held[-1].bind(("0.0.0.0", port))
            return first
        except OSError:
            pass
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no ports are free")


FRONT = free_ports()
CONTROL, READY, LIST, SERVERS, PEERS = (FRONT + n for n in (1, 2, 3, 4, 10))
METRICS_FRONT, METRICS_CORE = 9464, 9465  # By the deploy file, on each node's own address.
HOST = "shop.example"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """The start line, the headers (lower case) and the body of a message with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    if "Content-Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, port, method, path, headers=None, body=b"", limit_s=5.0):
    """Status, headers and body of one call on a new connection; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(address, port)
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": HOST, "Connection": "close", **(headers or {})}, body))
            start, got, content = await read_message(reader)
            return int(start.split()[1]), got, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A sound server: runs up to `slots` requests at a time, refuses what is meant for another
    instance, echoes Attempt-Id and signs its answers."""

    def __init__(self, fleet, ident, service, address, port=SERVERS, work_s=0.02, slots=8,
                 zone="z1"):
        self.fleet, self.ident, self.service = fleet, ident, service
        self.address, self.port, self.zone = address, port, zone
        self.work_s, self.slots, self.busy = work_s, slots, 0
        self.state, self.cold_ms, self.born = "ready", 0, int(time.time() * 1000)
        self.runs, self.listener, self.stamp = [], None, 0
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.address, self.port)
        return self

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": self.cold_ms, "id": self.ident, "born": self.born}

    def stop(self):
        """As a process that is killed: the port and all connections close."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.connections):
            writer.transport.abort()

    def leave(self):
        self.state = "gone"
        self.stop()
        self.fleet.record.add(f"server {self.ident} has left")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, path, _ = start.split()
                await self.answer(writer, method, path, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        if path == "/health":
            code = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(message(f"HTTP/1.1 {code}", {"Instance-Id": self.ident}))
            return
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expected-instance")
        if expected is not None and expected != self.ident:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 {"Attempt-Id": attempt, "Not-Executed": "1"}))
            return
        self.runs.append((self.fleet.record.now(), attempt))
        self.fleet.record.add(f"run server={self.ident} attempt={attempt} {method} {path}")
        await self.work(writer, method, path, headers, body)

    def signature(self):
        self.stamp += 1
        return f"{self.ident}.{self.stamp}"

    async def work(self, writer, method, path, headers, body):
        await asyncio.sleep(self.work_s)
        writer.write(message("HTTP/1.1 200 OK",
                             {"Attempt-Id": headers.get("attempt-id", ""),
                              "Server-Stamp": self.signature()}, b"0123456789abcdef" * 2))


class Platform:
    """The platform's list. A page token holds the number of the next entry."""

    def __init__(self, fleet, address, page=50):
        self.fleet, self.address, self.page = fleet, address, page
        self.delay_s, self.reads = 0.0, 0

    async def start(self):
        await asyncio.start_server(self.serve, self.address, LIST)

    def entries(self):
        return [one.entry() for one in sorted(self.fleet.servers, key=lambda one: one.ident)
                if one.state != "gone"]

    async def serve(self, reader, writer):
        try:
            while True:
                start, _, _ = await read_message(reader)
                _, _, query = start.split()[1].partition("?")
                first = 0
                for one in query.split("&"):
                    if one.startswith("page_token="):
                        first = int(one.removeprefix("page_token=").removeprefix("p-"))
                if first == 0:
                    self.reads += 1
                known = self.entries()
                entries = known[first:first + self.page]
                more = first + self.page < len(known)
                body = {"instances": entries,
                        "next_page_token": f"p-{first + self.page}" if more else None}
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"},
                                     json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            writer.close()


class Link:
    """One direction of a connection through a proxy: passes bytes on unless it is cut. Bytes
    that are held up arrive after the cut, unless their sender has closed the connection."""

    def __init__(self, proxies, nodes, reader, writer):
        self.proxies, self.nodes, self.reader, self.writer = proxies, nodes, reader, writer

    async def run(self):
        try:
            while chunk := await self.reader.read(65536):
                await self.proxies.until_passing(self.nodes)
                self.writer.write(chunk)
                await self.writer.drain()
            await self.proxies.until_passing(self.nodes)
        except OSError:
            pass
        finally:
            self.writer.close()


class Proxies:
    """Stand before the core processes, at the addresses by which other nodes know them, and cut
    nodes off from each other. Who connects is read from the first bytes: a member's and a
    front's hello hold its address or name, and so does a request to join. Operators are never
    cut off."""

    def __init__(self, fleet):
        self.fleet, self.cut = fleet, set()
        self.healed = asyncio.Event()
        self.tasks = set()

    def passes(self, nodes):
        one, other = nodes
        return None in nodes or one == other or not self.cut & {one, other}

    async def until_passing(self, nodes):
        while not self.passes(nodes):
            await self.healed.wait()

    def cut_off(self, nodes):
        self.healed.clear()
        self.cut = set(nodes)
        self.fleet.record.add(f"nodes {sorted(nodes)} are cut off from all other nodes")

    def heal(self):
        self.cut = set()
        self.healed.set()
        self.fleet.record.add("the cut has healed")

    async def start(self, node):
        for port in (PEERS, CONTROL):
            await asyncio.start_server(
                lambda reader, writer, port=port: self.accept(node, port, reader, writer),
                self.fleet.address(node), port)

    def caller(self, port, first):
        own = re.escape(self.fleet.prefix).encode() + rb"\.0\.(\d+)"
        forms = ([rb'"address":"' + own] if port == CONTROL else
                 [own + rb"-\d+", rb"front-z(\d+)-1"])
        for form in forms:
            if found := re.search(form, first):
                return int(found[1])
        return None

    async def accept(self, node, port, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        target = None
        try:
            first = await reader.read(65536)
            nodes = (self.caller(port, first), node)
            await self.until_passing(nodes)
            back, target = await asyncio.open_connection(self.fleet.listening(node), port)
            target.write(first)
            await asyncio.gather(Link(self, nodes, reader, target).run(),
                                 Link(self, nodes, back, writer).run())
        except OSError:
            pass
        finally:
            for one in (writer, target):
                if one is not None:
                    one.close()
            self.tasks.discard(task)


class Fleet:
    def __init__(self, folder, prefix, nodes, members, proxied=False, settings=None,
                 cores=None):
        # `settings` holds the keys that differ from those of vakadrum-search.
        self.proxies = Proxies(self) if proxied else None
        self.record = Record(folder)
        self.prefix, self.nodes, self.members = prefix, nodes, members
        self.changed = settings or {}
        # The first nodes run a core process too.
        self.cores = cores or nodes
        self.seeds = [1, 2, 3]
        self.servers, self.processes = [], {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.platform = Platform(self, f"{prefix}.1.1")

    def address(self, node):
        return f"{self.prefix}.0.{node}"

    def listening(self, node):
        """Where the core process of a node listens; its other address is the proxy's."""
        return f"{self.prefix}.{10 if self.proxies else 0}.{node}"

    def settings(self, node, role, first):
        own = self.address(node)
        seeds = ",".join(f"{self.address(one)}:{CONTROL}" for one in self.seeds)
        data = os.path.join(self.folder, f"data-{node}", "core")
        disk = node <= self.members
        if disk:
            os.makedirs(data, exist_ok=True)
        path = os.path.join(self.folder, f"{role}-{node}.conf")
        zones = "\n".join(f"zones.z{one}=r1" for one in range(1, self.nodes + 1))
        text = f"""node_name=front-z{node}-1
role={role}
machine_class=front
serves={"front" if role == "front" else "control"}
ip_address={own}
zone=z{node}
region=r1
{zones}
listen_addresses.front={own}:{FRONT}
listen_addresses.ready={own}:{READY}
listen_addresses.control={self.listening(node)}:{CONTROL}
internal_port_range={PEERS},{PEERS + 15}
seed_nodes={seeds}
first_start={"true" if first else "false"}
loss_counts={"true" if disk else "false"}
limits.cpu_share=0.45
limits.cpu_cores=1
limits.memory_mb=260
limits.max_file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb={64 if disk else 0}
data_directory={data if disk and role == "core" else ""}
discovery=cloud
entry=virtual_ip
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,places
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.contact_ms=4000
bounds.ack_timeout_ms=5000
bounds.catch_up_s=4
bounds.drain_timeout_ms=3000
bounds.grace_period_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=12000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_slack=58
bounds.cold_burst_factor=1.5
bounds.cold_slack=5
bounds.evacuation_ms=5000
bounds.recovery_s=12
config_mode=highest
cloud_api.address={self.platform.address}:{LIST}
cloud_api.rate_per_s=46.0
cloud_api.duties=
cloud_api.max_lag_ms=800
"""
        for key, value in self.changed.items():
            text = re.sub(rf"(?m)^{re.escape(key)}=.*$", f"{key}={value}", text)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def spawn(self, node, role, first=False):
        command = {"front": ["target/bin/curranthoist-front", "--metrics-port", str(METRICS_FRONT),
                             "--zone-cost-ms", "40"],
                   "core": ["target/bin/curranthoist-core", "--metrics-port",
                            str(METRICS_CORE)]}[role]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CURRANTHOIST_BOOT"] = self.settings(node, role, first)
        with open(os.path.join(self.folder, f"{role}-{node}.log"), "ab") as log:
            self.processes[role, node] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT)
        self.record.add(f"started {role} {node}")

    def signal(self, node, role, number):
        self.processes[role, node].send_signal(number)
        self.record.add(f"signal {signal.Signals(number).name} to {role} {node}")

    def kill(self, node, role):
        self.signal(node, role, signal.SIGKILL)
        self.processes[role, node].wait()

    def wipe(self, node):
        shutil.rmtree(os.path.join(self.folder, f"data-{node}"))
        self.record.add(f"disk of {node} lost")

    async def start(self, configuration):
        await self.platform.start()
        for one in self.servers:
            await one.start()
        for node in range(1, self.nodes + 1) if self.proxies else ():
            await self.proxies.start(node)
        for node in range(1, self.nodes + 1):
            if node <= self.cores:
                self.spawn(node, "core", first=True)
            self.spawn(node, "front", first=True)
        await self.until(lambda: self.order("POST", "/v1/configuration/replace", configuration))
        for node in range(1, self.nodes + 1):
            await self.until(lambda node=node: self.is_ready(node))
        self.record.add("all nodes are ready")

    async def platform_adds(self, server):
        self.servers.append(await server.start())
        self.record.add(f"server {server.ident} of {server.service} is listed")

    async def is_ready(self, node):
        return (await call(self.address(node), READY, "GET", "/v1/readiness"))[0] == 200

    async def until(self, holds, limit_s=30.0):
        end = time.monotonic() + limit_s
        while not await holds():
            if time.monotonic() > end:
                raise RuntimeError("the deployment did not start")
            await asyncio.sleep(0.05)

    async def order(self, method, path, document=None, nodes=None):
        """Sends an order as the operator does: node after node, a second each, following a
        redirect twice. True once it is acknowledged."""
        return (await self.operate(method, path, document, nodes))[0] == 200

    async def operate(self, method, path, document=None, nodes=None):
        body = json.dumps(document).encode() if document is not None else b""
        for node in nodes or range(1, self.cores + 1):
            address, port = self.address(node), CONTROL
            for _ in range(3):
                status, headers, answer = await call(
                    address, port, method, path, {"Content-Type": "application/json"}, body, 1.0)
                if status != 307:
                    break
                address, _, rest = headers["location"].removeprefix("http://").partition(":")
                port = int(rest.partition("/")[0])
            if status == 200:
                self.record.add(f"operator {method} {path} acknowledged by {address} "
                                f"(asked at {node})")
                return status, answer
            self.record.add(f"operator {method} {path} at {node}: {status}")
        return 0, b""

    async def leaders(self, nodes):
        """The nodes whose core process says that it leads."""
        found = []
        for node in nodes:
            _, _, text = await call(self.listening(node), METRICS_CORE, "GET", "/metrics")
            if b"\ncurranthoist_core_leads 1\n" in text:
                found.append(node)
        return found

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def service(name, **more):
    return {"name": name, "health_check_path": "/health", "max_connections": 64,
            "protocol": "h1", "tls_enabled": False, "cold_start_s": 3.0, "cold_per_s": 0.0,
            **more}


def route(name, prefix, kind="safe", **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
            **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def play(case, folder):
    """Runs the case; exits with 1 if it returns False, with 2 if it could not run."""

    async def limited():
        # Connections that are open at the end are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(folder, os.environ.get("TROUBLE") != "0"), 115)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(limited())
    except Exception as error:  # Whatever it is, the case has shown nothing.
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
