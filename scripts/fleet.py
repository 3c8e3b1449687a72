"""Starts a whole deployment as plain processes on loopback addresses and stops it again.

Used by scripts/demo, scripts/bench and scripts/capacity. Every VM has an address of its own
in 127.0.0.0/8, so ports never collide:

    entry VM n       127.20.0.n   callers :8080, peers :7000
    control member n 127.30.0.n   members and sessions :7100, operators :8081
    target n         127.40.x.y   parts and orders :9000, stand-in's admin :9001

The second octets are the default of Fleet's `network`; fleets that run at the same time need
different ones.
"""

import dataclasses
import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

READY_LIMIT_S = 30.0
POLL_S = 0.05
# Second octets of the addresses of entry VMs, control members and targets.
NETWORK = (20, 30, 40)


@dataclasses.dataclass(frozen=True)
class Service:
    name: str
    kind: str  # "query" or "order"
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_cost_ms: int


@dataclasses.dataclass(frozen=True)
class Deployment:
    name: str
    zones: tuple
    services: tuple


def _shape(name, zones, names, order_connections):
    first, second, orders, notes = names
    return Deployment(name, zones, (
        Service(first, "query", 20, 2, 2, 25, 6),
        Service(second, "query", 30, 2, 2, 25, 6),
        Service(orders, "order", 1, 7, 4, order_connections, 1),
        Service(notes, "order", 1, 4, 4, order_connections, 1),
    ))


VAKADRUM = _shape("vakadrum-search", ("lautoka", "nadi", "ba", "sigatoka"),
                  ("matching-desk", "curing-log", "order-book", "freight-notes"), 110)
MEAL_SEARCH = _shape("meal-search-front",
                     ("ettal", "andechs", "benediktbeuern", "frauenchiemsee"),
                     ("kuechenblick", "gaestebuch", "einkauf", "abrechnung"), 45)


@dataclasses.dataclass
class Target:
    name: str
    service: Service
    shard: int
    zone: str
    address: str
    admin: str


class Fleet:
    """All processes of one deployment. Use it in a 'with' statement: leaving it ends every
    process that it started, by process id."""

    def __init__(self, build, deployment, entries=10, controls=3, log_level="warn",
                 service_ms=5, policies=None, target_options=(), network=NETWORK):
        self.bin = os.path.join(build, "bin")
        self.deployment = deployment
        self.folder = tempfile.mkdtemp(prefix="curranthoist-")
        self.log_level = log_level
        self.service_ms = service_ms
        self.policies = policies or {}
        self.target_options = list(target_options)
        self.processes = {}
        entry_net, control_net, self.target_net = network
        zones = deployment.zones
        self.entries = {f"vm-{n}": (f"127.{entry_net}.0.{n}", zones[(n - 1) % len(zones)])
                        for n in range(1, entries + 1)}
        self.controls = {f"control-{n}": f"127.{control_net}.0.{n}" for n in range(1, controls + 1)}
        self.targets = list(self._targets())

    def _targets(self):
        number = 0
        for service in self.deployment.services:
            for shard in range(service.shards):
                for replica in range(service.replicas):
                    address = f"127.{self.target_net}.{number // 200}.{number % 200 + 1}"
                    zone = self.deployment.zones[
                        (shard + replica) % len(self.deployment.zones)]
                    yield Target(f"{service.name}-{shard}{chr(ord('a') + replica)}", service,
                                 shard, zone, f"{address}:9000", f"{address}:9001")
                    number += 1

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Processes

    def spawn(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen(arguments, stdin=subprocess.DEVNULL, stdout=log,
                                   stderr=subprocess.STDOUT)
        log.close()
        self.processes[name] = process
        return process

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)

    def wait_exit(self, name, limit_s=READY_LIMIT_S):
        return self.processes.pop(name).wait(timeout=limit_s)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def log_of(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()

    # Settings

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def entry_settings(self, name):
        address, zone = self.entries[name]
        controls = ", ".join(f'"{one}:7100"' for one in self.controls.values())
        policies = "".join(f"{key} = {json.dumps(value)}\n"
                           for key, value in self.policies.items())
        return self.write(name + ".toml", f"""vm = "{name}"
zone = "{zone}"
control = [{controls}]
log_level = "{self.log_level}"
balancer_delay_ms = 300
stop_limit_ms = 15000

[listen]
callers = "{address}:8080"
peers = "{address}:7000"

[policies]
{policies}""")

    def control_settings(self, name):
        address = self.controls[name]
        members = "".join(f"""
[[members]]
name = "{one}"
peer_address = "{at}:7100"
operators_address = "{at}:8081"
""" for one, at in self.controls.items())
        return self.write(name + ".toml", f"""name = "{name}"
data_folder = "{os.path.join(self.folder, name + '-data')}"
log_level = "{self.log_level}"

[listen]
peers = "{address}:7100"
operators = "{address}:8081"
{members}""")

    # Start

    def start_target(self, target):
        service = target.service
        arguments = [os.path.join(self.bin, "curranthoist-target"),
                     "--listen", target.address, "--admin-listen", target.admin,
                     "--id", target.name, "--service", service.name,
                     "--slots", str(service.slots),
                     "--connections", str(service.connections),
                     "--connect-cost-ms", str(service.connect_cost_ms),
                     "--service-ms", str(self.service_ms), *self.target_options]
        if service.kind == "query":
            arguments += ["--snapshot", f"1:{target.shard}:{service.shards}"]
        self.spawn(target.name, arguments)

    def start_control(self, name, first=False):
        arguments = [os.path.join(self.bin, "curranthoist-control"),
                     "--settings", self.control_settings(name)]
        self.spawn(name, arguments + (["--init-cluster"] if first else []))

    def start_entry(self, name):
        self.spawn(name, [os.path.join(self.bin, "curranthoist-entry"),
                          "--settings", self.entry_settings(name)])

    def start(self):
        for target in self.targets:
            self.start_target(target)
        for name in self.controls:
            self.start_control(name, first=True)
        self.wait_until(self.leader, "a control leader")
        self.declare()
        for name in self.entries:
            self.start_entry(name)
        self.wait_until(self.all_ready, "all entry VMs to be ready")
        self.wait_until(self.all_complete, "complete coverage of every query service")

    # Operators' side

    def ctl(self, *arguments, check=True):
        command = [os.path.join(self.bin, "curranthoist-ctl")]
        for address in self.controls.values():
            command += ["--control", f"{address}:8081"]
        command += ["--operator", "fleet", "--json", *arguments]
        result = subprocess.run(command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                                stderr=subprocess.PIPE, text=True, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"{' '.join(command)}: exit {result.returncode}\n"
                               f"{result.stdout}{result.stderr}")
        return result

    def intents(self):
        for name in self.deployment.zones:
            yield {"kind": "add_zone", "zone": name}
        for name, (address, zone) in self.entries.items():
            yield {"kind": "add_vm", "vm": name, "zone": zone,
                   "peer_address": f"{address}:7000"}
        for service in self.deployment.services:
            yield {"kind": "create_service", "service": service.name,
                   "service_kind": service.kind,
                   "targets": [{"target": one.name, "zone": one.zone,
                                "address": one.address, "slots": service.slots,
                                "connections": service.connections,
                                "connect_cost_ms": service.connect_cost_ms}
                               for one in self.targets if one.service == service]}

    def declare(self):
        path = self.write("intents.json", json.dumps(list(self.intents())))
        self.ctl("apply", "--yes", "--file", path)

    def status(self):
        return json.loads(self.ctl("status").stdout)

    # Waiting

    def wait_until(self, condition, what, limit_s=READY_LIMIT_S):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            self.check_alive()
            if condition():
                return
            time.sleep(POLL_S)
        raise TimeoutError(f"no {what} within {limit_s} s")

    def check_alive(self):
        for name, process in self.processes.items():
            if process.poll() not in (None, -signal.SIGKILL, -signal.SIGTERM, 0):
                raise RuntimeError(f"{name} ended with {process.returncode}:\n"
                                   + self.log_of(name)[-2000:])

    def leader(self):
        result = self.ctl("status", check=False)
        return result.returncode == 0 and json.loads(result.stdout).get("leader")

    def ready(self, name):
        return get(f"http://{self.entries[name][0]}:8080/ready")[0] == 200

    def all_ready(self):
        return all(self.ready(name) for name in self.entries)

    def all_complete(self):
        for name in self.entries:
            for service in self.deployment.services:
                if service.kind == "query":
                    status, body = self.query(name, service.name)
                    if status != 200 or not body["coverage"]["complete"]:
                        return False
        return True

    # Targets' side

    def journal(self, target):
        """Every order that the stand-in ran, and its latest parts."""
        status, body = get(f"http://{target.admin}/journal")
        if status != 200:
            raise RuntimeError(f"no journal of {target.name}: {status}")
        lines = body.splitlines() if isinstance(body, str) else [json.dumps(body)]
        return [json.loads(line) for line in lines if line]

    def summary(self, target):
        """The stand-in's sums and peaks."""
        return get(f"http://{target.admin}/journal/summary")[1]

    def fault(self, target, **fault):
        status, body = post(f"http://{target.admin}/fault", json.dumps(fault))
        if status != 200:
            raise RuntimeError(f"fault refused by {target.name}: {status} {body}")

    # Callers' side

    def query(self, entry, service, body="thickness=2.1", deadline_ms=1000):
        return post(f"http://{self.entries[entry][0]}:8080/v1/query/{service}", body,
                    {"Deadline-Ms": str(deadline_ms)})

    def order(self, entry, service, request_id, body="skin", deadline_ms=1500):
        return post(f"http://{self.entries[entry][0]}:8080/v1/order/{service}", body,
                    {"Deadline-Ms": str(deadline_ms), "Request-Id": request_id})


def new_request_id(number):
    return f"{int(time.time() * 1000)}-{os.getpid()}-{number}"


def get(url, limit_s=5.0):
    return _call(urllib.request.Request(url), limit_s)


def post(url, body, headers=None, limit_s=10.0):
    request = urllib.request.Request(url, data=body.encode(), headers=headers or {},
                                     method="POST")
    return _call(request, limit_s)


# In place of an HTTP status: the connection was refused, or it broke without an answer.
REFUSED = -1
BROKEN = 0


def _call(request, limit_s):
    """The status (or REFUSED or BROKEN) and the decoded body."""
    try:
        with urllib.request.urlopen(request, timeout=limit_s) as response:
            return response.status, _decoded(response.read())
    except urllib.error.HTTPError as error:
        return error.code, _decoded(error.read())
    except urllib.error.URLError as error:
        refused = isinstance(error.reason, ConnectionRefusedError)
        return (REFUSED if refused else BROKEN), None
    except (OSError, http.client.HTTPException):
        return BROKEN, None


def _decoded(content):
    try:
        return json.loads(content)
    except ValueError:
        return content.decode(errors="replace")
