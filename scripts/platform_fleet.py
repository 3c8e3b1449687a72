"""Starts the platform's programs (curranthoist-front, curranthoist-core) on loopback, with a
stand-in of the platform around them, and stops them again. Used by scripts/demo.

Every VM has an address of its own: 127.50.0.n; the stand-in's list and targets are at 127.60.0.1.
"""

import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

CALLERS, OPERATORS, READINESS, LIST, PEERS = 8104, 8106, 8108, 9000, 7380
STAND_IN = "127.60.0.1"
READY_LIMIT_S = 30.0
POLL_S = 0.05
HOST = "search.example"


class PlatformFleet:
    """All processes of one deployment. Use it in a 'with' statement: leaving it ends every
    process that it started, by process id."""

    def __init__(self, build, vms=6, members=4, shards=20, copies=2, singles=4, work_ms=5):
        self.bin = os.path.join(build, "bin")
        self.folder = tempfile.mkdtemp(prefix="curranthoist-")
        self.vms = {f"vm-{n}": f"127.50.0.{n}" for n in range(1, vms + 1)}
        self.members = list(self.vms)[:members]
        self.shards, self.copies, self.singles, self.work_ms = shards, copies, singles, work_ms
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, name, arguments):
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)

    def logs(self):
        return [os.path.join(self.folder, name) for name in sorted(os.listdir(self.folder))
                if name.endswith(".log")]

    def settings(self, vm, first):
        address = self.vms[vm]
        seeds = ",".join(f"{self.vms[one]}:{OPERATORS}" for one in self.members[:3])
        data = os.path.join(self.folder, vm + "-data") if vm in self.members else ""
        path = os.path.join(self.folder, vm + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""node_name={vm}
zone=z1
ip_address={address}
listen_addresses.front={address}:{CALLERS}
listen_addresses.ready={address}:{READINESS}
listen_addresses.control={address}:{OPERATORS}
internal_port_range={PEERS},{PEERS + 15}
seed_nodes={seeds}
first_start={"true" if first else "false"}
data_directory={data}
bounds.grace_period_s=6
bounds.config_apply_ms=3000
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=58
bounds.retry_window_s=10
cloud_api.address={STAND_IN}:{LIST}
cloud_api.rate_per_s=46.0
cloud_api.max_lag_ms=800
""")
        return path

    def start_vm(self, vm, first=False):
        settings = self.settings(vm, first)
        if vm in self.members:
            self.spawn(vm + "-core", [os.path.join(self.bin, "curranthoist-core"),
                                      "--settings", settings])
        self.spawn(vm + "-front", [os.path.join(self.bin, "curranthoist-front"),
                                   "--settings", settings])

    def start(self, version=1):
        self.spawn("stand-in", [
            os.path.join(self.bin, "curranthoist-stand-in-platform"),
            "--list", f"{STAND_IN}:{LIST}", "--address", STAND_IN,
            "--shards", str(self.shards), "--copies", str(self.copies),
            "--singles", str(self.singles), "--work-ms", str(self.work_ms)])
        for vm in self.vms:
            self.start_vm(vm, first=True)
        self.wait_until(lambda: self.replace_configuration(version) == 200,
                        "an acknowledged configuration")
        self.wait_until(lambda: all(self.ready(vm) for vm in self.vms), "ready VMs")

    def wait_until(self, holds, what):
        end = time.monotonic() + READY_LIMIT_S
        while not holds():
            if time.monotonic() > end:
                raise TimeoutError(f"no {what} within {READY_LIMIT_S} s")
            time.sleep(POLL_S)

    def ready(self, vm):
        return self.send(self.vms[vm], READINESS, "GET", "/v1/readiness")[0] == 200

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)

    def wait_exit(self, name):
        return self.processes.pop(name).wait(timeout=READY_LIMIT_S)

    @staticmethod
    def send(address, port, method, path, body="", headers=None, limit_s=5.0):
        """Status, headers and body; status 0 if no whole response came."""
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
        """Asks one member after the other, as operators do, and follows one redirect."""
        for vm in self.members:
            address, port = self.vms[vm], OPERATORS
            for _ in range(2):
                status, headers, answer = self.send(address, port, method, path, body)
                if status != 307:
                    break
                address, _, rest = headers["Location"].removeprefix("http://").partition(":")
                port = int(rest.partition("/")[0])
            if status not in (0, 307, 503):
                return status, answer
        return 0, b""

    def configuration(self, version):
        shards = [f"s{number}" for number in range(self.shards)]
        common = {"host": HOST, "timeout_ms": 2000, "target_latency_ms": 120, "priority": 1,
                  "max_attempts": 2}
        return {
            "version": version,
            "routes": [
                {"name": "query", "path_prefix": "/q/", "route_kind": "safe",
                 "shard_services": shards, "top_k": 3, "min_shard_share": 0.5, **common},
                {"name": "order", "path_prefix": "/o/", "route_kind": "unsafe",
                 "service": "single", **common}],
            "services": [
                {"name": name, "health_check_path": "/health", "max_connections": 64,
                 "protocol": "h1", "tls_enabled": False, "cold_start_s": 3.0,
                 "cold_per_s": 0.0} for name in [*shards, "single"]],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def replace_configuration(self, version):
        return self.operate("POST", "/v1/configuration/replace",
                            json.dumps(self.configuration(version)))[0]

    def configuration_version(self):
        status, body = self.operate("GET", "/v1/configuration/get")
        return json.loads(body)["version"] if status == 200 else 0

    def ask(self, vm, path, attempt, method="GET", body=""):
        return self.send(self.vms[vm], CALLERS, method, path, body,
                         {"Host": HOST, "Attempt-Id": attempt, "Deadline-Milliseconds": "3000"})
