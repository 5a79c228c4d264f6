"""Start and address a small deployment as child processes, for tests, demo and benchmarks."""

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
    """A host with one backend server and its sidecar."""

    name: str
    backend: str
    kind: str
    """Kind of backend server: `engine` or `service`."""
    domain: str
    model: str = ""
    slots: int = 4
    checks_fencing: bool = True
    engine_flags: tuple[str, ...] = ()
    sidecar_flags: tuple[str, ...] = ()

    @property
    def server_name(self) -> str:
        """The name of the backend server's process in the cluster."""
        return f"{self.name}-{self.kind}"


class Deployment:
    """Starts the processes of a deployment and adds the sidecars to the host list."""

    def __init__(
        self,
        cluster: processes.Cluster,
        program: tuple[str, ...] = (),
        environ: dict[str, str] | None = None,
    ) -> None:
        """
        Run entries, sidecars and commands as `program` with the environment variables `environ`.

        The defaults are `python -m oleanderdeal` and this process's environment variables.
        """
        self._cluster = cluster
        self._program = program or (sys.executable, "-m", "oleanderdeal")
        self._environ = environ
        self._hosts: dict[str, BackendHost] = {}
        self._entries: list[str] = []
        self._tokens = {"operator": OPERATOR_TOKEN}

    @property
    def cluster(self) -> processes.Cluster:
        """The cluster that holds the child processes."""
        return self._cluster

    @property
    def entries(self) -> list[str]:
        """The names of the entries; `start_entries` sorts them."""
        return list(self._entries)

    def add_customer(self, customer: str) -> None:
        """Create a customer's token; entries only know customers added before they start."""
        self._tokens[customer] = f"token-of-{customer}"

    def start_platform(self, *log_flags: str) -> None:
        """Start the stand-ins of the log, the host list and the weight store."""
        self._cluster.start_stand_in("log", "logservice", *log_flags)
        self._cluster.start_stand_in("hosts", "hostlist")
        self._cluster.start_stand_in("weights", "weightstore")

    def add_host(self, host: BackendHost) -> None:
        """Register a host whose backend server and sidecar are started by separate calls."""
        self._hosts[host.name] = host

    def start_host(self, host: BackendHost) -> None:
        """Start a host's backend server and sidecar and add the host to the host list."""
        self.add_host(host)
        self.start_backend_server(host.name)
        self.start_sidecar(host.name)

    def start_hosts(self, hosts: collections.abc.Sequence[BackendHost]) -> None:
        """Start several hosts in parallel."""
        with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_STARTS) as pool:
            for future in [pool.submit(self.start_host, host) for host in hosts]:
                future.result()

    def start_entries(self, count: int, *flags: str) -> None:
        """Start entries in parallel, spread evenly over the failure domains."""
        names = [
            f"entry-{DOMAINS[number % len(DOMAINS)]}{number // 3 or ''}" for number in range(count)
        ]
        with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_STARTS) as pool:
            for future in [pool.submit(self.start_entry, n, n[6], *flags) for n in names]:
                future.result()
        self._entries.sort()

    def start_backend_server(self, name: str, port: int = 0) -> None:
        """Start or restart the backend server of a host; port 0 reserves a free one."""
        host = self._hosts[name]
        port = port or self._cluster.reserve_port()
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
        """Start or restart the sidecar of a host; add it to the host list if `is_listed`."""
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
        """Add a host to the host list with the address of its sidecar."""
        host = {
            "name": name,
            "address": address,
            "failure_domain": self._hosts[name].domain,
            "state": "live",
            "backend": self._hosts[name].backend,
        }
        self._cluster.control("hosts", add=host)

    def start_entry(self, name: str, domain: str, *flags: str, log_url: str = "") -> None:
        """Start or restart an entry in a failure domain."""
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
        """Wait until every entry is connected to at least `peers` sidecars."""
        for name in self._entries:
            processes.wait_until(
                functools.partial(self._has_peers, name, peers),
                f"{name} has {peers} peers",
                _READY_TIMEOUT_SECONDS,
            )

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator's command and return its output and exit code."""
        return subprocess.run(
            [*self._program, *arguments],
            capture_output=True,
            text=True,
            timeout=_COMMAND_TIMEOUT_SECONDS,
            check=False,
            env=self._environ,
        )

    def publish(self, path: pathlib.Path) -> subprocess.CompletedProcess[str]:
        """Publish a contract by the operator's command, which waits until all entries apply it."""
        return self.run_command(
            "publish",
            *("--file", str(path), "--by", "demo", "--log_url", self._cluster.url("log")),
            *self.entry_flags(),
        )

    def entry_flags(self) -> tuple[str, ...]:
        """Return the flags that give an operator's command the entries' URLs and its token."""
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
        """
        Call an operation of a customer through an entry.

        `timeout` is the limit of the HTTP client in seconds; `timeout_ms` is sent to the entry as
        the limit of the request. An empty key or a limit of 0 is not sent.
        """
        headers = self.write_headers(customer)
        if key:
            headers["Idempotency-Key"] = key
        if timeout_ms:
            headers["Request-Timeout-Ms"] = str(timeout_ms)
        url = f"{self._cluster.url(entry)}/v1/customers/{customer}/operations/{operation}"
        return processes.call("POST", url, body, headers, timeout)

    def issue_key(self, entry: str, customer: str, operation: str) -> str:
        """Get a key issued by an entry, which names the sidecar that may start the request."""
        path = f"/v1/customers/{customer}/operations/{operation}/keys"
        url = self._cluster.url(entry) + path
        response = processes.call("POST", url, None, self.write_headers(customer))
        assert response.status == 200, response.body
        return str(response.read_json()["key"])

    def write_headers(self, customer: str) -> dict[str, str]:
        """Return the headers that authenticate a customer, or the operator."""
        return {"Authorization": f"Bearer {self._tokens[customer]}"}

    def _start_program(self, name: str, arguments: list[str]) -> None:
        self._cluster.start_command(name, [*self._program, *arguments], self._environ)

    def _has_peers(self, name: str, peers: int) -> bool:
        return self._count_peers(name) >= peers

    def _count_peers(self, name: str) -> int:
        url = f"{self._cluster.url(name)}/v1/configuration"
        response = processes.call("GET", url, None, self.write_headers("operator"))
        return int(json.loads(response.body)["peers"]) if response.status == 200 else 0
