"""Policies for choosing a server, and the product's router behind the same interface."""

import abc
import random

import policy_simulation
from oleander_base import identifiers
from oleander_contracts import contract
from oleander_routing import peers, router

SLOTS = 4
_BACKEND = "engines"
_BUDGET_MS = 60_000


class Chooser(abc.ABC):
    """The policy by which an entry chooses a server."""

    @abc.abstractmethod
    def choose(self, prefix: str) -> str:
        """Return the server for a request."""

    @abc.abstractmethod
    def report(self, name: str, outstanding: int) -> None:
        """Handle a server's load report."""

    @abc.abstractmethod
    def record_started(self, name: str) -> None:
        """Record that a request was sent to a server."""

    @abc.abstractmethod
    def record_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Record that a request to a server ended."""


class LeastReported(Chooser):
    """Chooses the server with the lowest load in its last report; breaks ties at random."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._loads: dict[str, int] = {}

    def choose(self, prefix: str) -> str:
        """Return the server with the lowest load."""
        least = min(self._loads.values())
        return self._source.choice([name for name, load in self._loads.items() if load == least])

    def report(self, name: str, outstanding: int) -> None:
        """Store the reported load."""
        self._loads[name] = outstanding

    def record_started(self, name: str) -> None:
        """Do nothing: only reports change the load."""

    def record_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Do nothing: only reports change the load."""


class TwoReported(LeastReported):
    """Chooses, of two random servers, the one with the lower load in its last report."""

    def choose(self, prefix: str) -> str:
        """Return the less loaded of two random servers."""
        return min(self._source.sample(list(self._loads), 2), key=lambda name: self._loads[name])


class TwoWithOwn(LeastReported):
    """Like TwoReported, but adjusts reports by the requests it started and ended since."""

    def choose(self, prefix: str) -> str:
        """Return the less loaded of two random servers."""
        return min(self._source.sample(list(self._loads), 2), key=lambda name: self._loads[name])

    def record_started(self, name: str) -> None:
        """Increment the server's load."""
        self._loads[name] += 1

    def record_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Decrement the server's load."""
        self._loads[name] -= 1


class PureHash(LeastReported):
    """Chooses by rendezvous hashing of the prefix, regardless of load."""

    def choose(self, prefix: str) -> str:
        """Return the server with the highest hash for the prefix."""
        return max(self._loads, key=lambda name: identifiers.hash_text(f"{name}\n{prefix}"))


class OurRouter(Chooser):
    """The product's router; affinity to prefixes and health checks can be disabled."""

    def __init__(
        self, simulation: policy_simulation.Simulation, seed: int, by_prefix: bool, judges: bool
    ) -> None:
        self._router = router.Router(seed, simulation.read_now)
        self._by_prefix = by_prefix
        self._judges = judges

    def choose(self, prefix: str) -> str:
        """Return the router's choice."""
        return self._router.choose(
            router.RouteRequest(
                backend=_BACKEND,
                affinity=prefix if self._by_prefix else "",
                priority=contract.Priority.INTERACTIVE,
                oldest_version=-1,
                excluded=frozenset(),
                budget_ms=_BUDGET_MS,
            )
        ).ok

    def report(self, name: str, outstanding: int) -> None:
        """Pass the report to the router."""
        report = peers.PeerReport(
            failure_domain="x",
            backend=_BACKEND,
            incarnation="1",
            queued=max(0, outstanding - SLOTS),
            running=min(SLOTS, outstanding),
            slots=SLOTS,
            wait_ms=0,
            version=None,
            in_rotation=True,
            leaving=False,
        )
        self._router.update(name, report)

    def record_started(self, name: str) -> None:
        """Pass the start to the router."""
        self._router.record_started(name)

    def record_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Pass the outcome to the router; if health checks are disabled, only that it ended."""
        outcome = router.RouteOutcome.OK if succeeded else router.RouteOutcome.FAILED
        if not self._judges:
            outcome = router.RouteOutcome.REFUSED
        self._router.record_finished(name, outcome, latency_ms)
