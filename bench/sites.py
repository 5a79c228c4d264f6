"""The deployments of both customers, at their present size, as processes on loopback."""

import dataclasses
import json
import pathlib
import time

import traffic
from oleander_standins import deployment, processes

SERVICE_MS = 150
_SERVICE_SLOTS = 4
_ENGINE_SLOTS = 4
_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "docs" / "examples"
_ENTRIES = 3
_SETTLE_SECONDS = 1.0
_IDLE_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """A customer's backend servers and the rates of its requests."""

    customer: str
    desk: str
    services: int
    engine_group: str
    engines: int
    flows: tuple[traffic.Flow, ...]


PLANS = {
    "catania": Plan(
        "catania",
        "desk",
        3,
        "designs",
        5,
        (
            traffic.Flow("catania", "booking", 36.0, 2000, 10, True, repeatable=False),
            traffic.Flow("catania", "record-lookup", 24.0, 3000, 1, False),
            traffic.Flow("catania", "suggestion", 6.0, 3000, 2, True, True, 32, 12),
        ),
    ),
    "trinidad": Plan(
        "caroni",
        "sales",
        5,
        "offers",
        5,
        (
            traffic.Flow("caroni", "standing-order", 30.0, 1500, 10, True),
            traffic.Flow("caroni", "shipment", 30.0, 2000, 10, True, repeatable=False),
            traffic.Flow("caroni", "depot-sync", 40.0, 3000, 1, False),
            traffic.Flow("caroni", "offer", 6.0, 3000, 2, True, True, 32, 12),
        ),
    ),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Prefixes:
    """An engine's prefix cache hits and misses since its start."""

    hits: int
    misses: int


def compute_hit_percent(before: list[Prefixes], after: list[Prefixes]) -> float:
    """Return the hit rate in percent between two readings; restarted engines count from 0."""
    hits = lookups = 0
    for old, new in zip(before, after, strict=True):
        is_same = new.hits >= old.hits and new.misses >= old.misses
        base = old if is_same else Prefixes(0, 0)
        hits += new.hits - base.hits
        lookups += new.hits - base.hits + new.misses - base.misses
    return round(100 * hits / max(1, lookups), 1)


class Site:
    """A customer's running deployment, with a baseline proxy for the same backend servers."""

    def __init__(self, name: str) -> None:
        self.plan = PLANS[name]
        self.cluster = processes.Cluster()
        self.deployed = deployment.Deployment(self.cluster)
        self.services = self._describe_hosts(self.plan.desk, "service", self.plan.services)
        self.engines = self._describe_hosts(self.plan.engine_group, "engine", self.plan.engines)
        self._next_version = 10

    @property
    def entry_urls(self) -> list[str]:
        """The URLs of the entries."""
        return [self.cluster.url(name) for name in self.deployed.entries]

    def start(self) -> None:
        """Start everything, wait for all links, publish the contract and start the baseline."""
        self.deployed.add_customer(self.plan.customer)
        self.deployed.start_platform()
        self.deployed.start_hosts([*self.services, *self.engines])
        self.deployed.start_entries(_ENTRIES)
        self.deployed.await_ready(len(self.services) + len(self.engines))
        published = self.deployed.publish(_EXAMPLES / f"{self.plan.customer}.yaml")
        assert published.returncode == 0, published.stderr + published.stdout
        backends = {
            self.plan.desk: self._describe_group("service", self.services),
            self.plan.engine_group: self._describe_group("engine", self.engines),
        }
        operations = {
            flow.operation: {
                "backend": self.plan.engine_group if flow.max_tokens else self.plan.desk,
                "timeout_ms": flow.timeout_ms,
            }
            for flow in self.plan.flows
        }
        operations["sample"] = {"backend": self.plan.engine_group, "timeout_ms": 30_000}
        flags = ("--backends", json.dumps(backends), "--operations", json.dumps(operations))
        self.cluster.start("baseline", "baseline", "--port", 0, *flags)
        time.sleep(_SETTLE_SECONDS)

    def take_versions(self, count: int) -> int:
        """Reserve `count` unused versions of weights; return the first."""
        first = self._next_version
        self._next_version += count
        return first

    def restart_engine(self, host: deployment.BackendHost) -> None:
        """Restart an engine on its previous port."""
        port = int(self.cluster.address(host.server_name).rpartition(":")[2])
        self.deployed.start_backend_server(host.name, port)

    def count_retries(self, is_ours: bool) -> int:
        """Return the number of retries of the entries or of the baseline."""
        if not is_ours:
            return int(self.cluster.read_control("baseline")["retries"])
        headers = self.deployed.write_headers("operator")
        urls = [f"{url}/v1/report" for url in self.entry_urls]
        reports = [processes.call("GET", url, None, headers).read_json() for url in urls]
        return sum(report["counts"].get("requests.retried", 0) for report in reports)

    def await_idle(self) -> None:
        """Wait until the baseline has run the requests of earlier loads whose callers gave up."""
        processes.wait_until(
            lambda: self.cluster.read_control("baseline")["load"] == 0,
            "the baseline is idle",
            _IDLE_TIMEOUT_SECONDS,
        )
        time.sleep(_SETTLE_SECONDS)

    def read_prefixes(self) -> list[Prefixes]:
        """Return the prefix cache counters of every engine."""
        counts = [
            self.cluster.read_control(host.server_name, "generations=no") for host in self.engines
        ]
        return [Prefixes(item["cache_hits"], item["cache_misses"]) for item in counts]

    def count_doubled(self, prefix: str) -> int:
        """Return how many idempotency keys with a prefix ran more than once."""
        counts = [self.cluster.read_control(host.server_name) for host in self.services]
        runs: dict[str, int] = {}
        for item in counts:
            for key, number in item["runs_by_key"].items():
                runs[key] = runs.get(key, 0) + number
        return sum(n > 1 for key, n in runs.items() if key.startswith(prefix))

    def _describe_hosts(self, group: str, kind: str, count: int) -> list[deployment.BackendHost]:
        slots = _ENGINE_SLOTS if kind == "engine" else _SERVICE_SLOTS
        pace = ("--service-ms", str(SERVICE_MS)) if kind == "service" else ()
        return [
            deployment.BackendHost(
                f"{group}-{number}",
                group,
                kind,
                deployment.DOMAINS[number % len(deployment.DOMAINS)],
                group if kind == "engine" else "",
                slots,
                checks_fencing=False,
                engine_flags=pace,
                sidecar_flags=("--load_timeout_ms", "3000") if kind == "engine" else (),
            )
            for number in range(count)
        ]

    def _describe_group(self, kind: str, hosts: list[deployment.BackendHost]) -> dict[str, object]:
        urls = [self.cluster.url(host.server_name) for host in hosts]
        return {"kind": kind, "slots": hosts[0].slots, "urls": urls}
