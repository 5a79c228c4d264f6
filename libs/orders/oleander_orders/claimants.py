"""Decides which processes claim the leases for orders, and in which order; no I/O."""

import collections.abc
import dataclasses

from oleander_base import clock, identifiers
from oleander_leases import lease

_RUNNER_SECONDS = 4.0
"""
How long a process counts as a runner after its last record about an open batch.

It spans the pauses between two steps, and ends before the leases of a lost runner are free.
"""
_SETTLE_SECONDS = 1.5
"""
How long the first runner waits for others before it claims a lease that nobody needs yet.

Trainers submit their first steps within seconds of each other. Without the wait the runner of the
first step would hold the leases of all servers. No version is published as soon after a first
step.
"""
_SUCCESSOR_LAG_SECONDS = 0.6
"""How long the second runner lets the first claim a lease, which takes a read and an append."""
_OWNER_LAG_SECONDS = 1.2
"""
How long the owner of a partition lets the runners claim its lease.

If no runner is known, it is counted from when that was so: just after an outage of the platform a
runner is unknown until its next record is read.
"""
_IDLE_SECONDS = 10.0
"""How long the owner leaves a lease free that nobody needs while no runner is known."""


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseDemand:
    """What is known about the servers of one lease."""

    partition: int
    models: frozenset[str]
    """The models of the servers' backends."""
    is_order_due: bool
    """Whether a server lacks a version that was published."""


@dataclasses.dataclass(slots=True, frozen=True)
class _RunnerPeriod:
    """Since when a partition has had runners, or has had none."""

    has_runners: bool
    started_at: float


class ClaimPlanner:
    """
    Plans which leases this process claims, and how long it lets others come first.

    A process that runs the batches of a model has connections to the servers of that model, so it
    can give them orders without opening any. All processes rank the runners of a partition by the
    same hash: the first claims its lease, and the second claims it if the first does not. The
    owner of the partition, whom the platform names, claims it if neither does. These follow the
    lease's records from the start, since a successor counts the term and the gap from when it has
    itself read the last record.

    Processes that disagree for a moment may claim the same lease; the lease then has one holder.
    Not thread-safe.
    """

    def __init__(self, name: str) -> None:
        """Create a planner for the process that the batch index calls `name`."""
        self._name = name
        self._heard_at: dict[tuple[str, str], float] = {}
        self._periods: dict[int, _RunnerPeriod] = {}

    def record_runner(self, model: str, runner: str, heard_at: float) -> None:
        """Record when a process last wrote about an open batch of a model that it runs."""
        key = (model, runner)
        self._heard_at[key] = max(heard_at, self._heard_at.get(key, 0.0))

    def plan_claims(
        self,
        demands: collections.abc.Iterable[LeaseDemand],
        owned: frozenset[int],
        index_as_of: float,
    ) -> dict[int, lease.ClaimTerms]:
        """
        Return the terms on which to claim each lease that this process is to follow.

        `index_as_of` is the time as of which the batch index was read. During an outage of the
        platform it stands still, so that the runners stay known.
        """
        for key, heard_at in list(self._heard_at.items()):
            if heard_at < index_as_of - _RUNNER_SECONDS:
                del self._heard_at[key]
        planned = {}
        for demand in demands:
            terms = self._plan_claim(demand, demand.partition in owned)
            if terms is not None:
                planned[demand.partition] = terms
        return planned

    def _plan_claim(self, demand: LeaseDemand, is_owner: bool) -> lease.ClaimTerms | None:
        ranked = self._rank_runners(demand)
        since = self._find_period_start(demand.partition, bool(ranked))
        if not demand.is_order_due:
            since += _SETTLE_SECONDS if ranked else _IDLE_SECONDS
        lag = self._find_lag(ranked, is_owner)
        if lag is None:
            return None
        return lease.ClaimTerms(since + lag, lag if ranked else 0.0)

    def _find_lag(self, ranked: list[str], is_owner: bool) -> float | None:
        """Return how long this process lets others claim, or None if it does not claim."""
        if ranked[:1] == [self._name]:
            return 0.0
        if ranked[1:2] == [self._name]:
            return _SUCCESSOR_LAG_SECONDS
        return _OWNER_LAG_SECONDS if is_owner else None

    def _rank_runners(self, demand: LeaseDemand) -> list[str]:
        runners = {runner for model, runner in self._heard_at if model in demand.models}
        return sorted(
            runners, key=lambda name: identifiers.hash_text(f"{demand.partition}\n{name}")
        )

    def _find_period_start(self, partition: int, has_runners: bool) -> float:
        period = self._periods.get(partition)
        if period is None or period.has_runners != has_runners:
            period = self._periods[partition] = _RunnerPeriod(has_runners, clock.read_now())
        return period.started_at
