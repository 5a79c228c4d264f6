"""Outlier detection: ejects peers that fail or are slow compared with their backend."""

import collections
import dataclasses
import enum
import statistics

_EWMA_WEIGHT = 0.1
"""Weight of the newest outcome in the moving averages."""
_MIN_SAMPLES = 10
"""Answers that a peer must have given before its latency is compared."""
_MAX_EXCESS_FAILURE_RATE = 0.3
"""How far a peer's failure rate, from 0 to 1, may exceed the median of its backend."""
_MAX_LATENCY_RATIO = 3.0
"""Maximum ratio of a peer's average latency to the median of its backend."""
_PROBES_TO_READMIT = 3
"""Successful probes in a row after which an ejected peer is readmitted."""
_RAMP_SECONDS = 10.0
"""Time over which a readmitted peer's weight rises to 1."""
_MIN_RAMP_WEIGHT = 0.1
"""Weight of a peer that was just readmitted."""
_MAX_PEERS = 4096
"""Bounds the memory; the least recently updated peer is forgotten first."""


class _HealthState(enum.Enum):
    """Whether a peer gets all, some or none of its usual requests."""

    HEALTHY = enum.auto()
    EJECTED = enum.auto()
    """The peer gets single probes only."""
    RAMPING = enum.auto()
    """The probes succeeded; the peer's weight rises to 1 over `_RAMP_SECONDS`."""


@dataclasses.dataclass(slots=True)
class _PeerHealth:
    """Moving averages of the outcomes of one incarnation of a peer."""

    incarnation: str = ""
    failure_rate: float = 0.0
    latency_ms: float = 0.0
    samples: int = 0
    """Number of answers in the average latency."""
    state: _HealthState = _HealthState.HEALTHY
    successful_probes: int = 0
    """Probes in a row that succeeded while the peer was ejected."""
    ramp_started_at: float = 0.0

    def record_outcome(self, failed: bool, latency_ms: float | None) -> None:
        """Update the averages; `latency_ms` is None if only the failure is to be counted."""
        self.failure_rate += _EWMA_WEIGHT * (float(failed) - self.failure_rate)
        if latency_ms is None:
            return
        self.samples += 1
        weight = max(_EWMA_WEIGHT, 1.0 / self.samples)
        self.latency_ms += weight * (latency_ms - self.latency_ms)

    def start_ramp(self, now: float) -> None:
        """
        Readmit the peer with a low weight.

        It starts at half of the tolerated failure rate, so that two more failures eject it again.
        """
        self.state = _HealthState.RAMPING
        self.ramp_started_at = now
        self.failure_rate = _MAX_EXCESS_FAILURE_RATE / 2
        self.latency_ms = 0.0
        self.samples = 0


class HealthTable:
    """
    Tracks the health of all peers by the outcomes of requests; not thread-safe.

    A peer with a partial ("grey") failure accepts requests and then fails them or answers late.
    Its reports show little load, so balancing by load alone would send it ever more requests. It
    is therefore compared with the other peers of its backend by the outcomes of requests. A fault
    that all peers share (bad requests, a slow store) moves the median as well and ejects none.
    At most half of a backend's peers are ejected, so that a false detection can't take the
    backend down.

    A peer's health is kept when its link is lost; otherwise a flapping link would reset the
    failure rate of a faulty peer. At most 4096 peers are kept; beyond that the least recently
    updated one is forgotten.
    """

    def __init__(self) -> None:
        self._health_by_peer: collections.OrderedDict[str, _PeerHealth] = collections.OrderedDict()

    def reset_if_restarted(self, name: str, incarnation: str) -> None:
        """Reset a peer's health if a new incarnation shows that its sidecar was restarted."""
        health = self._find_or_add(name)
        if health.incarnation != incarnation:
            self._health_by_peer[name] = _PeerHealth(incarnation)

    def is_ejected(self, name: str) -> bool:
        """Return whether a peer is ejected and gets probes only."""
        health = self._health_by_peer.get(name)
        return health is not None and health.state is _HealthState.EJECTED

    def read_weight(self, name: str, now: float) -> float:
        """Return the fraction of its usual requests that a peer gets now, from 0 to 1."""
        health = self._health_by_peer.get(name)
        if health is None or health.state is _HealthState.HEALTHY:
            return 1.0
        if health.state is _HealthState.EJECTED:
            return 0.0
        ramp_progress = (now - health.ramp_started_at) / _RAMP_SECONDS
        if ramp_progress >= 1.0:
            health.state = _HealthState.HEALTHY
            return 1.0
        return max(_MIN_RAMP_WEIGHT, ramp_progress)

    def record_outcome(
        self, name: str, group: list[str], failed: bool, latency_ms: float | None, now: float
    ) -> None:
        """
        Record a request's outcome, and eject or readmit the peer accordingly.

        `group` holds the names of all usable peers of the backend, with which it is compared.
        `latency_ms` is None for a request that failed before its deadline: how soon it failed
        says nothing about the peer's latency.
        """
        health = self._find_or_add(name)
        has_succeeded = not failed and not self._is_slow(latency_ms, group)
        if health.state is _HealthState.EJECTED:
            health.successful_probes = health.successful_probes + 1 if has_succeeded else 0
            if health.successful_probes >= _PROBES_TO_READMIT:
                health.start_ramp(now)
            return
        health.record_outcome(failed, latency_ms)
        if self._is_outlier(health, group) and self._can_eject(name, group):
            health.state = _HealthState.EJECTED
            health.successful_probes = 0

    def readmit_excess(self, group: list[str], now: float) -> None:
        """Readmit ejected peers until at most half of the group is ejected."""
        ejected = [name for name in group if self.is_ejected(name)]
        for name in ejected[len(group) // 2 :]:
            self._health_by_peer[name].start_ramp(now)

    def _find_or_add(self, name: str) -> _PeerHealth:
        health = self._health_by_peer.get(name)
        if health is None:
            while len(self._health_by_peer) >= _MAX_PEERS:
                self._health_by_peer.popitem(last=False)
            health = self._health_by_peer[name] = _PeerHealth()
        self._health_by_peer.move_to_end(name)
        return health

    def _can_eject(self, name: str, group: list[str]) -> bool:
        ejected = sum(1 for other in group if other != name and self.is_ejected(other))
        return ejected + 1 <= len(group) // 2

    def _is_outlier(self, health: _PeerHealth, group: list[str]) -> bool:
        rates = [
            self._health_by_peer[name].failure_rate if name in self._health_by_peer else 0.0
            for name in group
        ]
        if rates and health.failure_rate - statistics.median_low(rates) > _MAX_EXCESS_FAILURE_RATE:
            return True
        return health.samples >= _MIN_SAMPLES and self._is_slow(health.latency_ms, group)

    def _is_slow(self, latency_ms: float | None, group: list[str]) -> bool:
        known = [self._health_by_peer[name] for name in group if name in self._health_by_peer]
        latencies = [item.latency_ms for item in known if item.samples >= _MIN_SAMPLES]
        if latency_ms is None or len(latencies) < 2:
            return False
        return latency_ms > _MAX_LATENCY_RATIO * statistics.median_low(latencies)
