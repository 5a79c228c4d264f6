"""Starts the front program with the command of the deploy file and settings of a small site."""

import http.client
import os
import pathlib
import resource
import signal
import subprocess
import sys
import time

from common_2 import store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_START_SECONDS = 30.0
_MAX_FDS = 8200
"""Descriptors of a front machine in the users' sheets; the program gets no fewer and no more."""
_SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
internal_ports = [7380, 7395]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "stream", "batch", "platform"]
[zones]
z1 = "r1"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.717
cores = 3
memory_mb = 340
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
recovery_s = 12
pass_ms = 120
finish_s = 10
status_s = 120
cancel_ms = 3000
settle_ms = 1000
require_fencing = false
lease_ms = 3000
thaw_ms = 300
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
retention_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


class Front:
    """One front process; `end` kills it."""

    def __init__(self, name, folder, store_address):
        self.name = name
        self.port, self.ready_port, metrics = (stores.find_port() for _ in range(3))
        self._folder = pathlib.Path(folder) / name
        self._folder.mkdir()
        path = self._folder / "local.toml"
        settings = _SETTINGS.format(
            name=name,
            front=self.port,
            ready=self.ready_port,
            store=store_address,
            max_fds=_MAX_FDS,
        )
        path.write_text(settings)
        environ = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "OLEANDERDEAL_BOOT": str(path),
        }
        command = [sys.executable, "platform/run_front.py", f"--metrics_port={metrics}"]
        with open(self._folder / "output", "ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environ,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=_limit_descriptors,
            )

    @property
    def output(self):
        return (self._folder / "output").read_text(errors="replace")

    def is_ready(self):
        connection = http.client.HTTPConnection(stores.HOST, self.ready_port, timeout=1.0)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self):
        """Wait until the front answers 200 to the platform's check; raise if it never does."""
        until = time.monotonic() + _START_SECONDS
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise TimeoutError(f"{self.name} did not become ready:\n{self.output[-2000:]}")
            time.sleep(0.1)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10)


def end_on_sigterm():
    """Make SIGTERM raise SystemExit, so that a case ends the fronts that it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def _limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (_MAX_FDS, _MAX_FDS))


def describe_configuration(version, routes, services):
    """Return the operator's configuration, with the limits of the users' small sites."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def describe_route(name, prefix, kind, service, **changes):
    """Return a route; `changes` add or replace fields."""
    route = {
        "name": name,
        "host": "ficu95.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 800,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }
    return route | changes
