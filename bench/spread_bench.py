"""Measure the time and the traffic until a configuration change is in force everywhere."""

import dataclasses
import random
import socket
import statistics
import sys
import time

from oleander_contracts import contract, fold, in_force, records
from oleander_standins import deployment, processes

SEED = 7
SHAPES = ((3, 6), (6, 20))
CHANGES = 12
IDLE_SECONDS = 10.0
COST_CHANGES = 20
COST_PAUSE_SECONDS = 0.5
APPLIED = 5000
LOG, PEERS, BOTH = "log alone", "peers alone", "both"
_WAIT_TIMEOUT_SECONDS = 60.0
_MAX_DATAGRAM_BYTES = 65536
_GAUGE = "configuration.offset:"


class Gauges:
    """Receives statsd metrics and keeps the configuration offset of each process."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(0.2)
        self.offsets: dict[str, int] = {}

    @property
    def flags(self) -> tuple[str, ...]:
        """The flags that direct a process's metrics to this socket."""
        return ("--statsd_host", "127.0.0.1", "--statsd_port", str(self._socket.getsockname()[1]))

    def wait_all(self, names: list[str], offset: int) -> float:
        """Wait until all processes have reached an offset; return the monotonic time."""
        deadline = time.monotonic() + _WAIT_TIMEOUT_SECONDS
        while any(self.offsets.get(name, -1) < offset for name in names):
            if time.monotonic() > deadline:
                raise TimeoutError(f"{offset} is not everywhere: {self.offsets}")
            self._receive()
        return time.monotonic()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _receive(self) -> None:
        try:
            text = self._socket.recv(_MAX_DATAGRAM_BYTES).decode()
        except TimeoutError:
            return
        for line in text.splitlines():
            prefix, found, value = line.partition(_GAUGE)
            if found:
                name = prefix.rstrip(".").rpartition(".")[2]
                self.offsets[name] = int(float(value.split("|")[0]))


@dataclasses.dataclass(slots=True)
class Fleet:
    """Entries and sidecars that reach the log, and are linked, through relays."""

    cluster: processes.Cluster
    gauges: Gauges
    names: list[str]
    base: int = in_force.NO_OFFSET
    number: int = 0

    def put_change(self) -> int:
        """Append a changed contract to the log; return its offset."""
        self.number += 1
        record = records.ContractRecord(create_terms(self.number), self.base, "bench")
        url = f"{self.cluster.url('log')}/streams/{records.STREAM}/records"
        answer = processes.call("POST", url, {"records": [record.to_value()]})
        self.base = int(answer.read_json()["first_offset"])
        return self.base

    def measure_change(self) -> float:
        """Append a change; return the milliseconds until it is in force at every process."""
        started = time.monotonic()
        return (self.gauges.wait_all(self.names, self.put_change()) - started) * 1000

    def count_bytes(self, *relays: str) -> int:
        """Return the number of bytes forwarded by relays so far."""
        return sum(self.cluster.find_relay(name).bytes_passed for name in relays)


def create_terms(number: int) -> contract.Contract:
    """Return a contract about as large as the examples."""
    operations = tuple(
        contract.Operation(name, "desk", contract.Priority.CRITICAL, True, 2000 + number, 1, False)
        for name in ("booking", "record-lookup", "suggestion", "offer")
    )
    return contract.Contract("bench", 50, 10, operations, ())


def start_fleet(cluster: processes.Cluster, entries: int, sidecars: int, way: str) -> Fleet:
    """Start a fleet; if `way` is LOG, no sidecar is in the host list, so there are no links."""
    gauges = Gauges()
    deployed = deployment.Deployment(cluster)
    deployed.start_platform()
    cluster.start_stand_in("service", "service")
    names = []
    for number in range(sidecars):
        name = f"desk-{number}"
        domain = deployment.DOMAINS[number % 3]
        flags = ("--heartbeat_ms", "500", "--configuration_poll_ms", "500", *gauges.flags)
        deployed.add_host(
            deployment.BackendHost(name, "desk", "service", domain, sidecar_flags=flags)
        )
        log_url = cluster.start_relay(f"log-{name}", "log").url
        deployed.start_sidecar(name, cluster.url("service"), log_url, is_listed=False)
        if way != LOG:
            link = cluster.start_relay(f"link-{name}", name)
            deployed.list_host(name, link.address)
        names.append(name)
    for number in range(entries):
        name = f"entry-{number}"
        log_url = cluster.start_relay(f"log-{name}", "log").url
        flags = ("--heartbeat_ms", "500", "--configuration_poll_ms", "500", *gauges.flags)
        deployed.start_entry(name, deployment.DOMAINS[number % 3], *flags, log_url=log_url)
        names.append(name)
    if way != LOG:
        deployed.await_ready(sidecars)
    return Fleet(cluster, gauges, names)


def measure_spread(entries: int, sidecars: int, way: str) -> None:
    """Print how long changes take; print their traffic too, except for peers alone."""
    cluster = processes.Cluster()
    try:
        fleet = start_fleet(cluster, entries, sidecars, way)
        fleet.gauges.wait_all(fleet.names, fleet.put_change())
        if way == PEERS:
            for name in fleet.names:
                if name != "entry-0":
                    cluster.find_relay(f"log-{name}").cut()
        random.seed(SEED)
        times = []
        for _ in range(CHANGES):
            time.sleep(random.uniform(0.2, 1.2))
            times.append(fleet.measure_change())
        middle, longest = statistics.median(times), max(times)
        print(f"| {entries}+{sidecars} | {way} | {middle:.0f} | {longest:.0f} |", flush=True)
        if way == LOG:
            print_cost(fleet, entries, "sidecar without links", ("log-desk-0",))
        if way == BOTH:
            print_cost(fleet, entries, "sidecar", ("link-desk-0", "log-desk-0"))
            print_cost(fleet, entries, "entry's log", ("log-entry-1",))
        fleet.gauges.close()
    finally:
        cluster.stop()


def print_cost(fleet: Fleet, entries: int, node: str, relays: tuple[str, ...]) -> None:
    """Print a process's idle traffic per second and the bytes that each change adds."""
    before = fleet.count_bytes(*relays)
    time.sleep(IDLE_SECONDS)
    idle = (fleet.count_bytes(*relays) - before) / IDLE_SECONDS
    before, started = fleet.count_bytes(*relays), time.monotonic()
    for _ in range(COST_CHANGES):
        fleet.measure_change()
        time.sleep(COST_PAUSE_SECONDS)
    elapsed = time.monotonic() - started
    each = (fleet.count_bytes(*relays) - before - idle * elapsed) / COST_CHANGES
    print(f"cost, {entries} entries, {node}: idle {idle:.0f} B/s, {each:.0f} B a change")


def measure_apply() -> None:
    """Print the mean time in which a process applies a configuration record to its state."""
    values = []
    for number in range(APPLIED):
        base = number - 1
        values.append(records.ContractRecord(create_terms(number), base, "bench").to_value())
    folded = fold.ConfigurationFold()
    started = time.perf_counter()
    for offset, value in enumerate(values):
        folded.apply(offset, 0, value)
    micros = 1e6 * (time.perf_counter() - started) / APPLIED
    print(f"apply: {micros:.0f} µs a contract record of {in_force.measure_value(values[-1])} B")


def main() -> None:
    """Print the tables; an argument such as 3+6 (entries+sidecars) selects one shape."""
    measure_apply()
    print("| entries+sidecars | by | median ms | longest ms |\n|---|---|---|---|", flush=True)
    for entries, sidecars in SHAPES:
        if len(sys.argv) > 1 and sys.argv[1] != f"{entries}+{sidecars}":
            continue
        for way in (LOG, PEERS, BOTH):
            measure_spread(entries, sidecars, way)


if __name__ == "__main__":
    main()
