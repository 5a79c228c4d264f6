"""A small deployment as child processes: platform, backend servers, sidecars and entries."""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import json
import pathlib
import subprocess
import sys
import typing

from oleander_standins import client, processes

DOMAINS = ("a", "b", "c")
PROCESS_TOKEN = "between-processes"
OPERATOR_TOKEN = "operators-only"
_COMMAND_TIMEOUT_SECONDS = 30
_MAX_PARALLEL_STARTS = 8
_READY_TIMEOUT_SECONDS = 20


@dataclasses.dataclass(slots=True, frozen=True)
class BackendHost:
    """One backend server and the sidecar beside it."""

    name: str
    backend: str
    kind: str
    """`engine` or `service`."""
    domain: str
    model: str = ""
    slots: int = 4
    checks_fencing: bool = True
    engine_flags: tuple[str, ...] = ()
    sidecar_flags: tuple[str, ...] = ()

    @property
    def server_name(self) -> str:
        """The process name of the backend server."""
        return f"{self.name}-{self.kind}"


class Deployment:
    """Starts processes in order and tells the host list about the sidecars."""

    def __init__(
        self,
        cluster: processes.Cluster,
        program: tuple[str, ...] = (),
        environ: dict[str, str] | None = None,
    ) -> None:
        """Run the program from the tree, or the given one in its own environment."""
        self._cluster = cluster
        self._program = program or (sys.executable, "-m", "oleanderdeal")
        self._environ = environ
        self._hosts: dict[str, BackendHost] = {}
        self._entries: list[str] = []
        self._tokens = {"operator": OPERATOR_TOKEN}

    @property
    def cluster(self) -> processes.Cluster:
        """The processes by name."""
        return self._cluster

    @property
    def entries(self) -> list[str]:
        """The names of the entries."""
        return list(self._entries)

    def add_customer(self, customer: str) -> None:
        """Give a customer a token; call it before the entries start."""
        self._tokens[customer] = f"token-of-{customer}"

    def start_platform(self, *log_flags: str) -> None:
        """Start the log, the host list and the weight store."""
        self._cluster.start_stand_in("log", "logservice", *log_flags)
        self._cluster.start_stand_in("hosts", "hostlist")
        self._cluster.start_stand_in("weights", "weightstore")

    def add_host(self, host: BackendHost) -> None:
        """Make a host known, whose backend server and sidecar are started one by one."""
        self._hosts[host.name] = host

    def start_host(self, host: BackendHost) -> None:
        """Start a backend server and its sidecar, and list the host."""
        self.add_host(host)
        self.start_backend_server(host.name)
        self.start_sidecar(host.name)

    def start_hosts(self, hosts: collections.abc.Sequence[BackendHost]) -> None:
        """Start several hosts at once."""
        with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_STARTS) as pool:
            for future in [pool.submit(self.start_host, host) for host in hosts]:
                future.result()

    def start_entries(self, count: int, *flags: str) -> None:
        """Start entries at once, spread over the failure domains."""
        names = [
            f"entry-{DOMAINS[number % len(DOMAINS)]}{number // 3 or ''}" for number in range(count)
        ]
        with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_STARTS) as pool:
            for future in [pool.submit(self.start_entry, n, n[6], *flags) for n in names]:
                future.result()
        self._entries.sort()

    def start_backend_server(self, name: str, port: int = 0) -> None:
        """Start, or start anew, the backend server of a host."""
        host = self._hosts[name]
        flags = ["--port", str(port), *host.engine_flags]
        if host.kind == "engine":
            flags.append("--marks-version")
            flags += ["--weights-url", self._cluster.url("weights"), "--slots", str(host.slots)]
            if host.checks_fencing:
                flags.append("--checks-fencing")
        self._cluster.start_stand_in(host.server_name, host.kind, *flags)

    def start_sidecar(
        self, name: str, backend_url: str = "", log_url: str = "", is_listed: bool = True
    ) -> None:
        """Start, or start anew, the sidecar of a host, and list its address."""
        host = self._hosts[name]
        arguments = [
            "sidecar",
            *("--name", name, "--address", "127.0.0.1:0", "--failure_domain", host.domain),
            *("--log_url", log_url or self._cluster.url("log")),
            *("--process_token", PROCESS_TOKEN, "--backend", host.backend),
            *("--backend_kind", host.kind),
            *("--backend_url", backend_url or self._cluster.url(host.server_name)),
            *("--slots", str(host.slots), "--heartbeat_ms", "200"),
            *("--configuration_poll_ms", "200"),
            *host.sidecar_flags,
        ]
        if host.kind == "engine":
            arguments += ["--model", host.model]
            arguments += ["--checks_fencing"] if host.checks_fencing else []
        self._start_program(name, arguments)
        if is_listed:
            self.list_host(name, self._cluster.address(name))

    def list_host(self, name: str, address: str) -> None:
        """Put a sidecar's address into the host list."""
        host = {
            "name": name,
            "address": address,
            "failure_domain": self._hosts[name].domain,
            "state": "live",
            "backend": self._hosts[name].backend,
        }
        self._cluster.control("hosts", add=host)

    def start_entry(self, name: str, domain: str, *flags: str, log_url: str = "") -> None:
        """Start an entry."""
        tokens = ",".join(f"{customer}={token}" for customer, token in self._tokens.items())
        arguments = [
            "entry",
            *("--name", name, "--address", "127.0.0.1:0", "--failure_domain", domain),
            *("--log_url", log_url or self._cluster.url("log")),
            *("--hosts_url", self._cluster.url("hosts"), "--process_token", PROCESS_TOKEN),
            *("--customer_tokens", tokens, "--heartbeat_ms", "200"),
            *("--configuration_poll_ms", "200"),
            *flags,
        ]
        self._start_program(name, arguments)
        if name not in self._entries:
            self._entries.append(name)

    def await_ready(self, peers: int) -> None:
        """Wait until every entry is ready and has links to so many sidecars."""
        for name in self._entries:
            processes.wait_until(
                functools.partial(self._has_peers, name, peers),
                f"{name} has {peers} peers",
                _READY_TIMEOUT_SECONDS,
            )

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator's command to its end."""
        return subprocess.run(
            [*self._program, *arguments],
            capture_output=True,
            text=True,
            timeout=_COMMAND_TIMEOUT_SECONDS,
            check=False,
            env=self._environ,
        )

    def publish(self, path: pathlib.Path) -> subprocess.CompletedProcess[str]:
        """Publish a contract and wait until it is in force at every entry."""
        return self.run_command(
            "publish",
            *("--file", str(path), "--by", "demo", "--log_url", self._cluster.url("log")),
            *self.entry_flags(),
        )

    def entry_flags(self) -> tuple[str, ...]:
        """Return the flags that tell an operator's command where the entries are."""
        urls = ",".join(self._cluster.url(name) for name in self._entries)
        return ("--entries", urls, "--operator_token", OPERATOR_TOKEN)

    def call(
        self,
        entry: str,
        customer: str,
        operation: str,
        body: typing.Any,
        key: str = "",
        timeout_ms: int = 0,
        timeout: float = 30.0,
    ) -> client.Response:
        """Send a caller's request to an entry."""
        headers = self.write_headers(customer)
        if key:
            headers["Idempotency-Key"] = key
        if timeout_ms:
            headers["Request-Timeout-Ms"] = str(timeout_ms)
        url = f"{self._cluster.url(entry)}/v1/customers/{customer}/operations/{operation}"
        return processes.call("POST", url, body, headers, timeout)

    def issue_key(self, entry: str, customer: str, operation: str) -> str:
        """Ask an entry for an idempotency key that names the sidecar that may start it."""
        path = f"/v1/customers/{customer}/operations/{operation}/keys"
        url = self._cluster.url(entry) + path
        response = processes.call("POST", url, None, self.write_headers(customer))
        assert response.status == 200, response.body
        return str(response.read_json()["key"])

    def write_headers(self, customer: str) -> dict[str, str]:
        """Return the headers that show a customer's token."""
        return {"Authorization": f"Bearer {self._tokens[customer]}"}

    def _start_program(self, name: str, arguments: list[str]) -> None:
        self._cluster.start_command(name, [*self._program, *arguments], self._environ)

    def _has_peers(self, name: str, peers: int) -> bool:
        return self._count_peers(name) >= peers

    def _count_peers(self, name: str) -> int:
        url = f"{self._cluster.url(name)}/v1/configuration"
        response = processes.call("GET", url, None, self.write_headers("operator"))
        return int(json.loads(response.body)["peers"]) if response.status == 200 else 0
