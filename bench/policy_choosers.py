"""Ways for an entry to choose a server, and the product's router behind the same interface."""

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
    """How one entry chooses."""

    @abc.abstractmethod
    def choose(self, prefix: str) -> str:
        """Return the server for a request."""

    @abc.abstractmethod
    def report(self, name: str, outstanding: int) -> None:
        """Take in a load report."""

    @abc.abstractmethod
    def note_started(self, name: str) -> None:
        """Count a request that was sent."""

    @abc.abstractmethod
    def note_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Count a request that ended."""


class LeastReported(Chooser):
    """The server whose last report is lowest; ties at random."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._loads: dict[str, int] = {}

    def choose(self, prefix: str) -> str:
        """Return the least loaded of all."""
        least = min(self._loads.values())
        return self._source.choice([name for name, load in self._loads.items() if load == least])

    def report(self, name: str, outstanding: int) -> None:
        """Keep the load."""
        self._loads[name] = outstanding

    def note_started(self, name: str) -> None:
        """Count nothing."""

    def note_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Count nothing."""


class TwoReported(LeastReported):
    """The lower of two random servers' last reports."""

    def choose(self, prefix: str) -> str:
        """Return the less loaded of two."""
        return min(self._source.sample(list(self._loads), 2), key=lambda name: self._loads[name])


class TwoWithOwn(LeastReported):
    """The lower of two random servers, by report and by what was started and ended since."""

    def choose(self, prefix: str) -> str:
        """Return the less loaded of two."""
        return min(self._source.sample(list(self._loads), 2), key=lambda name: self._loads[name])

    def note_started(self, name: str) -> None:
        """Add it to the report."""
        self._loads[name] += 1

    def note_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Take it off the report."""
        self._loads[name] -= 1


class PureHash(LeastReported):
    """The server that the prefix hashes to, whatever its load."""

    def choose(self, prefix: str) -> str:
        """Return the first in the prefix's rank."""
        return max(self._loads, key=lambda name: identifiers.hash_text(f"{name}\n{prefix}"))


class OurRouter(Chooser):
    """The product's router, with parts of it switched off where a case compares them."""

    def __init__(
        self, simulation: policy_simulation.Simulation, seed: int, by_prefix: bool, judges: bool
    ) -> None:
        self._router = router.Router(seed, simulation.read_now)
        self._by_prefix = by_prefix
        self._judges = judges

    def choose(self, prefix: str) -> str:
        """Ask the router."""
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
        """Pass a report on."""
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

    def note_started(self, name: str) -> None:
        """Pass it on."""
        self._router.record_started(name)

    def note_finished(self, name: str, succeeded: bool, latency_ms: float) -> None:
        """Pass the outcome on, or only that there was one."""
        outcome = router.RouteOutcome.OK if succeeded else router.RouteOutcome.FAILED
        if not self._judges:
            outcome = router.RouteOutcome.REFUSED
        self._router.record_finished(name, outcome, latency_ms)
