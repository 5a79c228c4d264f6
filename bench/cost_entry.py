"""Resource costs of an entry, measured with fake sidecars that answer immediately."""

import collections.abc
import contextlib
import json
import pathlib
import time
import typing

import cost_peers
import cost_probe
from oleander_claims import records
from oleander_contracts import readers
from oleander_standins import client, deployment, processes

_EXAMPLE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "examples" / "catania.yaml"
_HEARTBEAT_MS = 500
_CALLS = "/v1/customers/catania/operations"
_STEP = "/v1/customers/catania/trainers/designs/steps/1"
_HEADERS = {"Authorization": "Bearer token-of-catania"}
_SAMPLE_TOKENS = 64
_SAMPLES_PER_GROUP = 10


class EntrySetup:
    """An entry with fake sidecars; its log, host list and links pass byte-counting relays."""

    def __init__(self, seconds: float, links: int, heartbeat_ms: int = _HEARTBEAT_MS) -> None:
        self.cluster = processes.Cluster()
        self._seconds = seconds
        self._nonce = 0
        self.sidecars = [
            cost_peers.FakeSidecar(number, "designs" if number % 5 == 4 else "desk", heartbeat_ms)
            for number in range(links)
        ]
        self.relays: list[cost_peers.CountingRelay] = []

    def start(self, contracts: int = 1) -> None:
        """Start the platform and the entry with `contracts` contracts in force."""
        self.cluster.start_stand_in("log", "logservice")
        self.cluster.start_stand_in("hosts", "hostlist")
        for number in range(contracts):
            self.publish(f"other-{number}" if number else "catania", -1)
        for sidecar in self.sidecars:
            host = {"name": sidecar.name, "address": self._relay(sidecar.address)}
            host |= {"failure_domain": "a", "state": "live", "backend": "desk"}
            self.cluster.control("hosts", add=host)
        self.cluster.start(
            "entry",
            "oleanderdeal",
            "entry",
            *("--name", "entry-a", "--address", "127.0.0.1:0", "--failure_domain", "a"),
            *("--log_url", f"http://{self._relay(self.cluster.address('log'))}"),
            *("--hosts_url", f"http://{self._relay(self.cluster.address('hosts'))}"),
            *("--process_token", deployment.PROCESS_TOKEN, "--peer_limit", "64"),
            *("--customer_tokens", "catania=token-of-catania,operator=o"),
        )
        processes.wait_until(self._is_linked, "the entry is linked", 20)
        time.sleep(1.0)

    def create_probe(self) -> cost_probe.Probe:
        """Return a probe of the entry."""
        return cost_probe.Probe(self.cluster.find("entry").pid, self.relays, self._seconds)

    def stop(self) -> None:
        """Stop all processes, fake sidecars and relays."""
        self.cluster.stop()
        for sidecar in self.sidecars:
            sidecar.stop()
        for relay in self.relays:
            relay.close()

    def publish(self, customer: str, base: int) -> int:
        """Append a contract to the log; return its offset."""
        self._nonce += 1
        contract = readers.read_contract(_EXAMPLE.read_text(), "example").ok
        document = readers.write_document(contract)
        typing.cast(dict[str, typing.Any], document)["customer"] = customer
        value = {"kind": "contract", "customer": customer, "base": base, "document": document}
        value |= {"by": "bench", "nonce": str(self._nonce)}
        return self.append("configuration", [value])

    def append(self, stream: str, values: list[dict[str, typing.Any]]) -> int:
        """Append records to a stream of the log; return the offset of the first."""
        url = f"{self.cluster.url('log')}/streams/{stream}/records"
        return int(processes.call("POST", url, {"records": values}).read_json()["first_offset"])

    def call(
        self, operation: str, content: dict[str, typing.Any], key: str = ""
    ) -> client.Response:
        """Call an operation; raise AssertionError if it fails."""
        headers = _HEADERS | ({"Idempotency-Key": key} if key else {})
        url = f"{self.cluster.url('entry')}{_CALLS}/{operation}"
        answer = processes.call("POST", url, content, headers)
        assert answer.status == 200, answer.body
        return answer

    def call_plain(self, number: int) -> None:
        """Call a repeatable operation."""
        self.call("record-lookup", {"number": number})

    def call_claimed(self, number: int) -> None:
        """Call an at-most-once operation with the caller's key, claimed in the log."""
        self.call("booking", {"number": number}, f"own-{number}")

    def call_ticket(self, number: int) -> None:
        """Get a key from the entry and call an at-most-once operation with it: two requests."""
        key = str(self.call("booking/keys", {}).read_json()["key"])
        self.call("booking", {"number": number}, key)

    def call_streamed(self, tokens: int) -> None:
        """Request a streamed generation of `tokens` tokens."""
        content = {"prompt": "p", "prefix": "q", "max_tokens": tokens, "stream": True}
        self.call("suggestion", content)

    def append_claim(self, number: int) -> None:
        """Append a claim to the log as another entry would."""
        claim = records.Claim(
            "catania", f"foreign-{number}", "d" * 32, 1, "s", "127.0.0.1:1", "i" * 32, "n" * 32, ""
        )
        self.append(f"claims-{number % 4}", [claim.to_value()])

    def make_samples(self, step: int, samples: int) -> None:
        """Register a step and wait long enough for the entry to collect all its samples."""
        groups = [
            {
                "prompt": f"p{group}",
                "prefix": f"q{group}",
                "samples": _SAMPLES_PER_GROUP,
                "max_tokens": _SAMPLE_TOKENS,
            }
            for group in range(samples // _SAMPLES_PER_GROUP)
        ]
        body = {"incarnation": 1, "version": 1, "held": "", "groups": groups}
        url = self.cluster.url("entry") + _STEP[:-1] + str(step)
        answer = processes.call("PUT", url, body, _HEADERS)
        assert answer.status == 200, answer.body
        time.sleep(2.0 + samples / 200)

    def _relay(self, target: str) -> str:
        relay = cost_peers.CountingRelay(target)
        self.relays.append(relay)
        return relay.address

    def _is_linked(self) -> bool:
        url = f"{self.cluster.url('entry')}/v1/configuration"
        answer = processes.call("GET", url, None, {"Authorization": "Bearer o"})
        return answer.status == 200 and json.loads(answer.body)["peers"] >= len(self.sidecars)


@contextlib.contextmanager
def open_setup(
    seconds: float, links: int, heartbeat_ms: int = _HEARTBEAT_MS, contracts: int = 1
) -> collections.abc.Iterator[EntrySetup]:
    """Start a setup and stop it at the end of the `with` block."""
    setup = EntrySetup(seconds, links, heartbeat_ms)
    try:
        setup.start(contracts)
        yield setup
    finally:
        setup.stop()


def measure_links(seconds: float) -> cost_probe.Series:
    """Vary the number of sidecar links of an idle entry."""
    series = cost_probe.Series("entry", "sidecar link at 2 heartbeats/s")
    for links in (1, 5, 10, 20, 40):
        with open_setup(seconds, links) as setup:
            series.readings.append(setup.create_probe().read(links))
    return series


def measure_heartbeats(seconds: float) -> cost_probe.Series:
    """Vary the rate of the heartbeats from 10 sidecars."""
    series = cost_probe.Series("entry", "heartbeat/s, 10 links")
    for heartbeat_ms in (1000, 500, 250, 125):
        with open_setup(seconds, 10, heartbeat_ms) as setup:
            series.readings.append(setup.create_probe().read(10_000 / heartbeat_ms))
    return series


def measure_requests(seconds: float) -> list[cost_probe.Series]:
    """Vary the rate of each kind of request in turn."""
    measured = []
    with open_setup(seconds, 5) as setup:
        probe = setup.create_probe()
        for name, act in (
            ("plain request/s", setup.call_plain),
            ("claimed request/s", setup.call_claimed),
            ("ticket request/s, with its issue", setup.call_ticket),
        ):
            series = cost_probe.Series("entry", name)
            series.readings = [probe.read(rate, rate, act) for rate in (0, 10, 20, 40)]
            measured.append(series)
        series = cost_probe.Series("entry", "streamed token/s, 4 a piece, 5 requests/s")
        for tokens in (4, 64, 128, 256):
            reading = probe.read(5 * tokens, 5, lambda _, most=tokens: setup.call_streamed(most))
            series.readings.append(reading)
        measured.append(series)
        series = cost_probe.Series("entry", "claim/s of other entries, read")
        series.readings = [
            probe.read(rate, rate, setup.append_claim) for rate in (0, 50, 100, 150)
        ]
        measured.append(series)
    return measured


def measure_samples(seconds: float) -> cost_probe.Series:
    """Vary the number of samples that the entry holds for a trainer that does not pull."""
    series = cost_probe.Series("entry", f"sample held, {_SAMPLE_TOKENS} tokens (4 bytes each)")
    for samples in (10, 500, 1000, 2000):
        with open_setup(seconds, 5) as setup:
            setup.make_samples(1, samples)
            series.readings.append(setup.create_probe().read(samples))
    return series


def measure_configuration(seconds: float) -> list[cost_probe.Series]:
    """Vary the number of contracts in force, then the rate of contract changes."""
    in_force = cost_probe.Series("entry", "contract in force")
    for contracts in (1, 100, 200, 400):
        with open_setup(seconds, 1, contracts=contracts) as setup:
            in_force.readings.append(setup.create_probe().read(contracts))
    changes = cost_probe.Series("entry", "contract change/s, 5 links")
    with open_setup(seconds, 5) as setup:
        probe = setup.create_probe()
        for rate in (0, 2, 5, 10):
            reading = probe.read(rate, rate, lambda number: setup.publish(f"new-{number}", -1))
            changes.readings.append(reading)
    return [in_force, changes]
