"""Ejection of peers that answer worse than the others of their backend."""

import collections
import dataclasses
import enum
import statistics

_EWMA_WEIGHT = 0.1
_MIN_SAMPLES = 10
"""Latency is compared only after so many answers."""
_MAX_EXCESS_FAILURE_RATE = 0.3
"""How far a peer's failure rate may be above the median."""
_MAX_LATENCY_RATIO = 3.0
"""How many times the median latency a peer may take."""
_PROBES_TO_READMIT = 3
_RAMP_SECONDS = 10.0
_MIN_RAMP_WEIGHT = 0.1
_MAX_PEERS = 4096


class _HealthState(enum.Enum):
    """How far a peer is trusted."""

    HEALTHY = enum.auto()
    EJECTED = enum.auto()
    """It gets probes only."""
    RAMPING = enum.auto()
    """Its probes succeeded; it gets more work bit by bit."""


@dataclasses.dataclass(slots=True)
class _PeerHealth:
    """The outcomes of one incarnation of a peer, as moving averages."""

    incarnation: str = ""
    failure_rate: float = 0.0
    latency_ms: float = 0.0
    samples: int = 0
    """How many answers the latency rests on."""
    state: _HealthState = _HealthState.HEALTHY
    successful_probes: int = 0
    """Probes in a row that succeeded."""
    ramp_started_at: float = 0.0

    def record_outcome(self, failed: bool, latency_ms: float | None) -> None:
        """Take in one outcome; the latency is missing where it says nothing."""
        self.failure_rate += _EWMA_WEIGHT * (float(failed) - self.failure_rate)
        if latency_ms is None:
            return
        self.samples += 1
        weight = max(_EWMA_WEIGHT, 1.0 / self.samples)
        self.latency_ms += weight * (latency_ms - self.latency_ms)

    def start_ramp(self, now: float) -> None:
        """Give it work again; two more failures eject it anew."""
        self.state = _HealthState.RAMPING
        self.ramp_started_at = now
        self.failure_rate = _MAX_EXCESS_FAILURE_RATE / 2
        self.latency_ms = 0.0
        self.samples = 0


class HealthTable:
    """
    The health of all peers; not thread-safe by itself.

    A grey peer accepts work and then fails it or takes too long, while its reports look idle, so
    load alone would send it more and more. Here it is told from its peers by what became of the
    work. A fault that all peers share (bad requests, a slow store) moves the median too and ejects
    nobody, and never more than half are ejected, so a wrong verdict can't take a backend down.

    Health outlives a lost link, so that a flapping one does not wash a grey peer clean. At most
    4096 peers are remembered; past that the one not heard of for longest is forgotten.
    """

    def __init__(self) -> None:
        self._health_by_peer: collections.OrderedDict[str, _PeerHealth] = collections.OrderedDict()

    def reset_if_restarted(self, name: str, incarnation: str) -> None:
        """Start anew if what is known is of another incarnation."""
        health = self._find_or_add(name)
        if health.incarnation != incarnation:
            self._health_by_peer[name] = _PeerHealth(incarnation)

    def is_ejected(self, name: str) -> bool:
        """Whether a peer gets only probes."""
        health = self._health_by_peer.get(name)
        return health is not None and health.state is _HealthState.EJECTED

    def read_weight(self, name: str, now: float) -> float:
        """Return which part of its usual work a peer is to get, from 0 to 1."""
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
        """Take in an outcome of one peer of a backend; the group is all its usable peers."""
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
        """Let ejected peers back in when others have gone and they are more than half."""
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
