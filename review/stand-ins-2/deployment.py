"""A small deployment on loopback for the cases of the second review: curranthoist-core and
curranthoist-front as the deploy file starts them, with stand-ins of the platform's list, of
back ends, of clients and of the operator.

Every machine has its own loopback address; all use the same ports, as on the platform.
"""

import asyncio
import concurrent.futures
import contextlib
import http.client
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "pupu76.example"


def free_network():
    """The first two numbers of loopback addresses that nobody listens on yet."""
    for second in random.sample(range(20, 250), 100):
        network = f"127.{second}"
        try:
            with contextlib.ExitStack() as held:
                for place in ((f"{network}.0.1", Deployment.OPERATORS),
                              (f"{network}.0.1", Deployment.PEERS),
                              (f"{network}.9.9", Deployment.LIST),
                              (f"{network}.1.1", 8080)):
                    held.enter_context(socket.create_server(place))
                return network
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class BackEnd:
    """A sound back end of one service. It answers each request that names it with its whole
    body and its signature, and another's request with 421."""

    def __init__(self, deployment, ident, service, address, zone):
        self.deployment, self.id, self.service = deployment, ident, service
        self.address, self.zone, self.state = address, zone, "ready"
        self.is_listed = True
        self.work_s = 0.0

    async def listen(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                method, path, _ = head[0].split(" ", 2)
                fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip()
                          for line in head[1:] if line}
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                if path == "/health":
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                elif fields.get("expected-instance", self.id) != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                else:
                    attempt = fields.get("attempt-id", "")
                    self.deployment.note("run", back_end=self.id, service=self.service,
                                         attempt=attempt, method=method, path=path,
                                         bytes=len(body), key=fields.get("key"),
                                         tenant=fields.get("tenant"))
                    await asyncio.sleep(self.work_s)
                    text = f"{self.id} ran {attempt}".encode()
                    writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                                 f"Server-Stamp: {self.id}.{attempt}\r\n"
                                 f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Deployment:
    """Use it in a 'with' statement: leaving it ends every process that it started, by id."""

    CALLERS, OPERATORS, READY, LIST, PEERS = 8104, 8106, 8108, 9000, 7380

    def __init__(self, record, machines, with_disk):
        self.began = time.monotonic()
        self.record = open(record, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.folder = tempfile.mkdtemp(prefix="curranthoist-review-")
        self.network = free_network()
        self.machines = {f"vm-{n}": f"{self.network}.0.{n}" for n in range(1, machines + 1)}
        self.disks = list(self.machines)[:with_disk]
        self.seeds = list(self.machines)[:3]
        self.back_ends, self.processes, self.runs = [], {}, []
        # Lines added to every settings file, and entries of another writer in the list.
        self.more_settings, self.other_entries = "", []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def __enter__(self):
        # A run that takes too long is ended by SIGTERM, and ends its processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        return self

    def __exit__(self, *_):
        for name in self.ended_processes():
            self.note("ended_by_itself", process=name, code=self.processes[name].returncode,
                      log=repr(self.log_tail(name)))
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    def note(self, event, **fields):
        """One line of the record: seconds since the start, what happened, and its fields."""
        with self.lock:
            if event == "run":
                self.runs.append(fields)
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self.record.write(f"{time.monotonic() - self.began:8.3f} {event} {text}\n")
            self.record.flush()

    def in_loop(self, task):
        return asyncio.run_coroutine_threadsafe(task, self.loop).result(20)

    # The platform: list, settings files, processes.

    def start_list(self):
        self.in_loop(asyncio.start_server(self.serve_list, f"{self.network}.9.9", self.LIST))

    async def serve_list(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                text = json.dumps({"instances": [
                    {"id": one.id, "service": one.service, "address": one.address,
                     "zone": one.zone, "version": "v1", "slots": 4, "state": one.state,
                     "cold_remaining_ms": 0} for one in self.back_ends if one.is_listed]
                    + self.other_entries, "next_page_token": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def add_back_end(self, ident, service, number):
        one = BackEnd(self, ident, service, f"{self.network}.1.{number}:8080", "lautoka")
        self.in_loop(one.listen())
        self.back_ends.append(one)
        return one

    def data_folder(self, machine):
        return os.path.join(self.folder, machine + "-data") if machine in self.disks else ""

    def write_settings(self, machine, first_start):
        address = self.machines[machine]
        seeds = ",".join(f"{self.machines[one]}:{self.OPERATORS}" for one in self.seeds)
        path = os.path.join(self.folder, machine + ".conf")
        # By rename: another process of the machine may be reading it.
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(f"""node_name={machine}
machine_class=front
serves=front,control
ip_address={address}
zone=lautoka
region=viti-west
zones.lautoka=viti-west
listen_addresses.front={address}:{self.CALLERS}
listen_addresses.ready={address}:{self.READY}
listen_addresses.control={address}:{self.OPERATORS}
internal_port_range={self.PEERS},{self.PEERS + 15}
seed_nodes={seeds}
first_start={"true" if first_start else "false"}
loss_counts={"true" if machine in self.disks else "false"}
limits.cpu_share=0.45
limits.cpu_cores=1
limits.memory_mb=260
limits.max_file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=64
data_directory={self.data_folder(machine)}
discovery=cloud
entry=virtual_ip
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,places
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.contact_ms=4000
bounds.ack_timeout_ms=5000
bounds.catch_up_s=4
bounds.drain_timeout_ms=3000
bounds.grace_period_s=6
bounds.config_apply_ms=3000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_slack=58
bounds.cold_burst_factor=1.5
bounds.cold_slack=5
bounds.evacuation_ms=5000
bounds.recovery_s=12
config_mode=highest
cloud_api.address={self.network}.9.9:{self.LIST}
cloud_api.rate_per_s=46.0
cloud_api.max_lag_ms=800
{self.more_settings}""")
        os.replace(path + ".new", path)
        return path

    def start(self, machine, role, first_start=False):
        settings = self.write_settings(machine, first_start)
        command = shlex.split(self.roles[role]["run"])
        command[0] = os.path.join(ROOT, command[0])
        name = f"{machine}-{role}"
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT,
                env={"CURRANTHOIST_BOOT": settings, "PATH": os.environ["PATH"]})
        self.note("start", process=name, first_start=first_start)

    def start_all(self, first_start=False):
        for machine in self.machines:
            for role in ("core", "front"):
                self.start(machine, role, first_start)

    def kill(self, machine, role):
        process = self.processes[f"{machine}-{role}"]
        process.kill()
        process.wait()
        self.note("kill", process=f"{machine}-{role}")

    def lose_disk(self, machine):
        shutil.rmtree(self.data_folder(machine))
        self.note("disk_lost", machine=machine)

    def ended_processes(self):
        return [name for name, one in self.processes.items() if one.poll() is not None]

    def log_tail(self, name, size=400):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()[-size:]

    # Callers.

    @staticmethod
    def call(address, port, method, path, body="", headers=None, limit_s=1.0):
        """Status, headers and body; status 0 if no whole response came in time."""
        connection = http.client.HTTPConnection(address, port, timeout=limit_s)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def operate(self, method, path, body=""):
        """Tries the nodes that serve control one after the other, as the operator does, and
        follows a 307 twice. Returns the first clear answer, or status 0."""
        for machine in self.machines:
            address, port, target = self.machines[machine], self.OPERATORS, path
            for _ in range(3):
                status, headers, answer = self.call(address, port, method, target, body)
                if status != 307:
                    break
                place, _, rest = headers["Location"].removeprefix("http://").partition("/")
                address, port = place.split(":")[0], int(place.split(":")[1])
                target = "/" + rest
            if status in (200, 400, 409, 412, 413, 422):
                return status, answer
        return 0, b""

    @staticmethod
    def route(name="r-orders", host=HOST, service="order-book"):
        return {"name": name, "host": host, "path_prefix": "/orders/", "route_kind": "unsafe",
                "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1,
                "max_attempts": 2, "service": service}

    def configuration(self, version, routes=None, **more):
        return {"version": version,
                "routes": routes or [self.route()],
                "services": [{"name": name, "health_check_path": "/health",
                              "max_connections": 110, "protocol": "h1",
                              "tls_enabled": False, "cold_start_s": 3.0,
                              "cold_per_s": 0.0} for name in ("order-book", "freight-notes")],
                **more,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def replace_configuration(self, document, limit_s):
        """Sends a configuration again and again until it gets a clear answer."""
        version, body = document["version"], json.dumps(document)
        end = time.monotonic() + limit_s
        self.note("order_sent", version=version)
        wait = 0.1
        while time.monotonic() < end:
            status, _ = self.operate("POST", "/v1/configuration/replace", body)
            if status:
                self.note("order_answered", version=version, status=status)
                return status
            time.sleep(wait)
            wait = min(0.5, wait * 2)
        self.note("order_unanswered", version=version, after_s=limit_s)
        return 0

    def read_configuration(self, limit_s):
        """Reads back again and again; the version, or None if it doesn't come."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, body = self.operate("GET", "/v1/configuration/get")
            if status == 200:
                version = json.loads(body)["version"]
                self.note("read_back", version=version)
                return version
            time.sleep(0.2)
        self.note("read_back", version=None, after_s=limit_s)
        return None

    def send_requests(self, count, tag, headers=None, at_once=1, path="/orders/"):
        """Sends requests to the machines in turn; returns how many were served."""
        names = list(self.machines)

        def send(number):
            machine, attempt = names[number % len(names)], f"{tag}-{number}"
            status, answered, _ = self.call(
                self.machines[machine], self.CALLERS, "POST", f"{path}{number}", "one drum",
                {"Host": HOST, "Attempt-Id": attempt, "Deadline-Milliseconds": "3000",
                 **(headers or {})}, 3.5)
            self.note("request", machine=machine, attempt=attempt, status=status)
            return (status == 200 and
                    answered.get("Server-Stamp", "").endswith("." + attempt))

        with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
            return sum(pool.map(send, range(count)))

    def runs_of(self, tag):
        """What back ends ran of the requests with this tag."""
        with self.lock:
            return [one for one in self.runs if one["attempt"].startswith(tag + "-")]

    def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.ready() == len(self.machines):
                return True
            time.sleep(0.1)
        return False

    def ready(self):
        return sum(self.call(address, self.READY, "GET", "/v1/readiness")[0] == 200
                   for address in self.machines.values())
