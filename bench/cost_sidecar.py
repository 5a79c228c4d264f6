"""Resource costs of a sidecar, measured with fake entries and a stand-in backend server."""

import collections.abc
import contextlib
import itertools
import time

import cost_peers
import cost_probe
from oleander_standins import deployment, processes
from oleander_wire import messages

_HEARTBEAT_MS = 500
_BUDGET_MS = 10_000
_TOKEN_MS = 0.5


class SidecarSetup:
    """A sidecar with fake entries; its log and links pass byte-counting relays."""

    def __init__(self, seconds: float, links: int, kind: str, heartbeat_ms: int) -> None:
        self.cluster = processes.Cluster()
        self.entries: list[cost_peers.FakeEntry] = []
        self.relays: list[cost_peers.CountingRelay] = []
        self._seconds = seconds
        self._links = links
        self._kind = kind
        self._heartbeat_ms = heartbeat_ms
        self._numbers = itertools.count()

    def start(self) -> None:
        """Start the log, the backend server and the sidecar, and connect the fake entries."""
        self.cluster.start_stand_in("log", "logservice")
        pace = ("--token-ms", _TOKEN_MS) if self._kind == "engine" else ()
        self.cluster.start_stand_in("backend", self._kind, *pace)
        engine_flags = ("--model", "m", "--checks_fencing") if self._kind == "engine" else ()
        self.cluster.start(
            "sidecar",
            "oleanderdeal",
            "sidecar",
            *("--name", "sidecar-a", "--address", "127.0.0.1:0", "--failure_domain", "a"),
            *("--log_url", f"http://{self._relay(self.cluster.address('log'))}"),
            *("--process_token", deployment.PROCESS_TOKEN, "--backend", "desk"),
            *("--backend_kind", self._kind, "--backend_url", self.cluster.url("backend")),
            *("--slots", "16", "--heartbeat_ms", str(self._heartbeat_ms)),
            *engine_flags,
        )
        for number in range(self._links):
            address = self._relay(self.cluster.address("sidecar"))
            self.entries.append(cost_peers.FakeEntry(number, address))
        time.sleep(1.5)

    def create_probe(self) -> cost_probe.Probe:
        """Return a probe of the sidecar."""
        return cost_probe.Probe(self.cluster.find("sidecar").pid, self.relays, self._seconds)

    def stop(self) -> None:
        """Stop all entries, processes and relays."""
        for entry in self.entries:
            entry.stop()
        self.cluster.stop()
        for relay in self.relays:
            relay.close()

    def run(self, repeatable: bool, tokens: int = 0) -> None:
        """Send a request over the next entry's link without waiting for the answer."""
        number = next(self._numbers)
        entry = self.entries[number % len(self.entries)]
        terms = messages.GenerationTerms("m", "q", tokens, "", 0, -1) if tokens else None
        entry.send(
            messages.Run(
                request_id=f"r{number}",
                trace_id="t" * 32,
                incarnation=entry.incarnation,
                customer="catania",
                operation="booking",
                key=f"key-{number}",
                digest="d" * 32,
                attempt=1,
                shard=0,
                claim_offset=-1 if repeatable else number,
                repeatable=repeatable,
                priority=0,
                share_percent=50,
                budget_ms=_BUDGET_MS,
                body=b'{"number": 1}',
                generation=terms,
            )
        )

    def count_answers(self) -> int:
        """Return how many answers the entries received."""
        return sum(entry.answers for entry in self.entries)

    def _relay(self, target: str) -> str:
        relay = cost_peers.CountingRelay(target)
        self.relays.append(relay)
        return relay.address


@contextlib.contextmanager
def open_setup(
    seconds: float, links: int, kind: str = "service", heartbeat_ms: int = _HEARTBEAT_MS
) -> collections.abc.Iterator[SidecarSetup]:
    """Start a setup and stop it at the end of the `with` block."""
    setup = SidecarSetup(seconds, links, kind, heartbeat_ms)
    try:
        setup.start()
        yield setup
    finally:
        setup.stop()


def measure_links(seconds: float) -> cost_probe.Series:
    """Vary the number of entry links of an idle sidecar."""
    series = cost_probe.Series("sidecar", "entry link at 2 heartbeats/s")
    for links in (1, 5, 10, 20, 40):
        with open_setup(seconds, links) as setup:
            series.readings.append(setup.create_probe().read(links))
    return series


def measure_heartbeats(seconds: float) -> cost_probe.Series:
    """Vary the rate of the heartbeats to 10 entries."""
    series = cost_probe.Series("sidecar", "heartbeat/s, 10 links")
    for heartbeat_ms in (1000, 500, 250, 125):
        with open_setup(seconds, 10, heartbeat_ms=heartbeat_ms) as setup:
            series.readings.append(setup.create_probe().read(10_000 / heartbeat_ms))
    return series


def measure_requests(seconds: float) -> list[cost_probe.Series]:
    """Vary the rate of repeatable requests, and of at-most-once ones, whose answers are kept."""
    measured = []
    for name, repeatable in (("plain request/s", True), ("claimed request/s", False)):
        series = cost_probe.Series("sidecar", name)
        with open_setup(seconds, 3) as setup:
            probe = setup.create_probe()
            for rate in (0, 10, 20, 40):
                reading = probe.read(rate, rate, lambda _, can=repeatable: setup.run(can))
                series.readings.append(reading)
            assert setup.count_answers(), "no request was answered"
        measured.append(series)
    return measured


def measure_tokens(seconds: float) -> cost_probe.Series:
    """Vary the number of tokens that an engine streams."""
    series = cost_probe.Series("sidecar", "streamed token/s, 4 a piece, 5 requests/s")
    with open_setup(seconds, 3, "engine") as setup:
        probe = setup.create_probe()
        for tokens in (4, 64, 128, 256):
            reading = probe.read(5 * tokens, 5, lambda _, most=tokens: setup.run(True, most))
            series.readings.append(reading)
        assert setup.count_answers(), "no generation was answered"
    return series
