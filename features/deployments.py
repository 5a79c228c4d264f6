"""A small deployment whose parts a scenario can stop, pause and cut off."""

import concurrent.futures
import http.client
import json
import pathlib
import threading

import support
from oleander_contracts import contract, in_force, readers, records
from oleander_standins import deployment, relay

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "docs" / "examples"
LONG_CUSTOMER = "long"
"""A customer whose operations time out after half a minute, so that an early answer can be
distinguished from one at the timeout."""
_LONG_CONTRACT = """
customer: long
share_percent: 50
retry_percent: 100
operations:
  - {name: charge, backend: desk, priority: critical, repeatable: false, timeout_ms: 30000}
  - {name: look-up, backend: desk, priority: critical, repeatable: true, timeout_ms: 30000}
  - {name: draft, backend: designs, priority: interactive, repeatable: true, timeout_ms: 30000,
     generates: true}
trainers: []
"""
DESKS = (
    deployment.BackendHost("desk-a", "desk", "service", "a"),
    deployment.BackendHost("desk-b", "desk", "service", "b"),
)
ENTRIES = ("entry-a", "entry-b")
_RELAY_KINDS = ("link", "service", "log", "trainer")
_UNUSED_ADDRESS = "127.0.0.1:1"
_CALL_TIMEOUT_SECONDS = 40.0
_MAX_THREADS = 16
_READY_TIMEOUT_SECONDS = 20


class SmallDeployment:
    """
    The platform, some hosts with sidecars, and two entries, started concurrently.

    Relays between the processes inject network faults. They are named after the connection:
    `link-desk-a` is between the entries and a sidecar, `service-desk-a` between a sidecar and its
    backend server, `log-entry-a` between an entry and the log, and `trainer-entry-a` between
    trainers and an entry. Only the relays passed to the constructor are started.
    """

    def __init__(
        self,
        cluster,
        relays=(),
        hosts=DESKS,
        entry_flags=(),
        entries=ENTRIES,
        contracts=(),
    ):
        self.cluster = cluster
        self.deployed = deployment.Deployment(cluster)
        self.hosts = {host.name: host for host in hosts}
        self._entry_flags = entry_flags
        self.entries = entries
        self._contracts = contracts
        self._pool = concurrent.futures.ThreadPoolExecutor(_MAX_THREADS)
        self._calls = {}
        self._runs_lock = threading.Lock()
        self._ended_process_runs = {}
        self.is_reusable = True
        self.relays = {name: cluster.start_relay(name, _UNUSED_ADDRESS) for name in relays}
        assert all(name.split("-")[0] in _RELAY_KINDS for name in relays), relays

    @property
    def has_own_settings(self):
        """Whether the deployment has non-default entry flags, so that it can't be reused."""
        return bool(self._entry_flags)

    @property
    def server_names(self):
        """The process names of the backend servers."""
        return [host.server_name for host in self.hosts.values()]

    def start(self):
        """Start all processes, and wait until every entry has applied the contracts."""
        terms = read_contracts(self._contracts)
        for item in terms:
            self.deployed.add_customer(item.customer)
        for host in self.hosts.values():
            self.deployed.add_host(host)
        platform = (("log", "logservice"), ("hosts", "hostlist"), ("weights", "weightstore"))
        self._run_all((self.cluster.start_stand_in, *item) for item in platform)
        self._run_all((self.deployed.start_backend_server, name) for name in self.hosts)
        for name in self.hosts:
            self._list_relayed_host(name)
        self._run_all(
            [(self._put_contracts, terms)]
            + [(self.start_sidecar, name) for name in self.hosts]
            + [(self.start_entry, name) for name in self.entries]
        )
        self.await_entries(len(terms) - 1)

    def await_entries(self, offset=0):
        """Wait until each running entry has links to all sidecars and the configuration."""
        for name in self.list_running_entries():
            support.wait_until(
                lambda name=name: self._is_ready(name, offset),
                f"{name} has {len(self.hosts)} peers and the configuration up to {offset}",
                _READY_TIMEOUT_SECONDS,
            )

    def await_peers(self, count):
        """Wait until each running entry has links to exactly `count` sidecars."""
        for name in self.list_running_entries():
            self.await_entry_peers(name, count)

    def await_entry_peers(self, name, count):
        """Wait until an entry has links to exactly `count` sidecars."""
        try:
            support.wait_until(
                lambda: self.read_configuration(name)["peers"] == count,
                f"{name} has {count} peers",
            )
        except AssertionError as error:
            raise AssertionError(f"{error}; it says {self.read_configuration(name)}") from error

    def list_running_entries(self):
        """Return the entries whose process is running."""
        return [name for name in self.entries if self.cluster.find(name).code is None]

    def read_configuration(self, entry):
        """Return an entry's report of its configuration and peers."""
        url = f"{self.cluster.url(entry)}/v1/configuration"
        headers = self.deployed.write_headers("operator")
        return support.call("GET", url, None, headers).read_json()

    def start_sidecar(self, name):
        """Start or restart a sidecar; its relay, if any, keeps its address."""
        link = self.relays.get(f"link-{name}")
        self.deployed.start_sidecar(
            name,
            backend_url=self._route_through_relay("service", name),
            log_url=self._route_through_relay("log", name),
            is_listed=link is None,
        )
        if link is not None:
            link.target = self.cluster.address(name)

    def start_entry(self, name):
        """Start or restart an entry."""
        log_url = self._route_through_relay("log", name)
        self.deployed.start_entry(name, name[6], *self._entry_flags, log_url=log_url)
        if f"trainer-{name}" in self.relays:
            self.relays[f"trainer-{name}"].target = self.cluster.address(name)

    def start_server(self, name):
        """Restart a backend server on the same port."""
        host = self.find_host(name)
        port = self.cluster.address(name).rpartition(":")[2]
        with self._runs_lock:
            self.deployed.start_backend_server(host.name, int(port))

    def restart(self, name):
        """Restart a process that has ended."""
        if name in self.hosts:
            self.start_sidecar(name)
        elif name in self.entries:
            self.start_entry(name)
        else:
            self.start_server(name)

    def find_host(self, server_name):
        """Return the host of a backend server."""
        return next(item for item in self.hosts.values() if item.server_name == server_name)

    def is_service(self, name):
        """Return whether a process is a plain service, not an engine."""
        return name in self.server_names and self.find_host(name).kind == "service"

    def kill(self, name):
        """Kill a process as in a crash; the runs that a service counted are kept."""
        self.is_reusable = False
        with self._runs_lock:
            if self.is_service(name):
                for key, runs in self._read_runs(name).items():
                    self._ended_process_runs[key] = self._ended_process_runs.get(key, 0) + runs
            self.cluster.kill(name)

    def terminate(self, name):
        """Send SIGTERM to a process; return its exit code."""
        self.is_reusable = False
        return self.cluster.terminate(name)

    def freeze(self, name):
        """Pause a process, and wait until it is stopped."""
        self.cluster.freeze(name)
        pid = self.cluster.find(name).pid
        support.wait_until(lambda: is_frozen(pid), f"{name} is paused")

    def count_runs(self, key):
        """Return how often services ran a key in total, including services that have ended."""
        services = [name for name in self.server_names if self.is_service(name)]
        with self._runs_lock:
            alive = [name for name in services if self.cluster.find(name).code is None]
            now = sum(self._read_runs(name).get(key, 0) for name in alive)
            return now + self._ended_process_runs.get(key, 0)

    def is_ready(self, entry):
        """Return whether an entry's readiness check allows a load balancer to send to it."""
        try:
            return support.call("GET", f"{self.cluster.url(entry)}/readyz").status == 200
        except (OSError, http.client.HTTPException):
            return False

    def await_ready(self):
        """Wait until each entry passes its readiness check."""
        for name in self.entries:
            support.wait_until(lambda name=name: self.is_ready(name), f"{name} is ready")

    def await_usable(self, count):
        """Wait until each entry considers exactly `count` sidecars usable for new work."""
        for name in self.entries:
            support.wait_until(
                lambda name=name: self.read_configuration(name)["usable"] == count,
                f"{name} gives work to {count} sidecars",
            )

    def read_stream(self, stream):
        """Return the records of a log stream."""
        url = f"{self.cluster.url('log')}/streams/{stream}/records?offset=0&limit=500"
        return support.call("GET", url).read_json()["records"]

    def submit(self, task, *arguments):
        """Run a task on the thread pool; return its future."""
        return self._pool.submit(task, *arguments)

    def call(self, entry, customer, operation, body, key="", timeout_ms=0):
        """Send a caller's request; return None if the connection was cut."""
        arguments = (entry, customer, operation, body, key, timeout_ms, _CALL_TIMEOUT_SECONDS)
        try:
            return self.deployed.call(*arguments)
        except (ConnectionError, http.client.HTTPException):
            return None

    def start_call(self, name, entry, customer, operation, body, key="", timeout_ms=0):
        """Send a caller's request on the thread pool; its answer is kept under the name."""
        arguments = (entry, customer, operation, body, key, timeout_ms)
        self._calls[name] = self.submit(self.call, *arguments)

    def is_answered(self, name):
        """Return whether a caller's request has ended."""
        return self._calls[name].done()

    def read_answer(self, name):
        """Wait for a caller's answer and return it, or None if the connection was cut."""
        return self._calls[name].result()

    def _is_ready(self, entry, offset):
        report = self.read_configuration(entry)
        if report["applied_offset"] < offset or report["peers"] < len(self.hosts):
            return False
        return support.call("GET", f"{self.cluster.url(entry)}/readyz").status == 200

    def _read_runs(self, service):
        return self.cluster.read_control(service).get("runs_by_key", {})

    def _route_through_relay(self, kind, user):
        """Connect the relay of a kind for a process; return its URL, or "" without a relay."""
        found = self.relays.get(f"{kind}-{user}")
        if found is None:
            return ""
        target = "log" if kind == "log" else self.hosts[user].server_name
        found.target = self.cluster.address(target)
        return found.url

    def _list_relayed_host(self, host):
        """Add a host to the host list under its relay's address, if it has a relay."""
        link = self.relays.get(f"link-{host}")
        if link is not None:
            self.deployed.list_host(host, link.address)

    def _put_contracts(self, terms):
        values = [
            records.ContractRecord(item, in_force.NO_OFFSET, "a scenario").to_value()
            for item in terms
        ]
        url = f"{self.cluster.url('log')}/streams/{records.STREAM}/records"
        assert support.call("POST", url, {"records": values}).status == 200

    def _run_all(self, tasks):
        for future in [self._pool.submit(task, *arguments) for task, *arguments in tasks]:
            future.result()


def read_contracts(more=()) -> list[contract.Contract]:
    """Return the example contracts, the one with long timeouts, and those given as YAML."""
    texts = [path.read_text() for path in sorted(EXAMPLES.glob("*.yaml"))]
    return [readers.read_contract(text, "scenario").ok for text in [*texts, _LONG_CONTRACT, *more]]


def is_frozen(pid):
    """Return whether a process is stopped by a signal (state T)."""
    status = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return status.rpartition(")")[2].split()[0] == "T"


def read_outcome(response):
    """Return an answer's outcome and reason as one string, or "cut" if there was none."""
    if response is None:
        return "cut"
    if response.status == 200:
        return "done"
    problem = json.loads(response.body)
    return f"{problem['outcome']} {problem['reason']}"


DIRECTIONS = {"to the server": relay.TO_SERVER, "to the client": relay.TO_CLIENT}
