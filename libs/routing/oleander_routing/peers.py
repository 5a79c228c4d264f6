"""State that an entry keeps of each connected sidecar."""

import collections.abc
import dataclasses

from oleander_routing import windows

_LATENCY_EWMA_WEIGHT = 0.1
"""Weight of the newest latency in its moving average."""
_SLOTS_PER_PENDING_STREAM = 3
"""
A peer's queue may hold one waiting stream for each group of this many slots, and at least one.

With a short queue the peer fills a freed slot without a round trip to the entry, while all other
requests stay at the entry and can go to any peer that has a free slot.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReport:
    """The state that a sidecar reports in its heartbeats."""

    failure_domain: str
    backend: str
    incarnation: str
    queued: int
    running: int
    slots: int
    wait_ms: int
    version: int | None
    in_rotation: bool
    leaving: bool
    models: collections.abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    """Loaded version by model name, for backend servers with several models."""


@dataclasses.dataclass(slots=True)
class Peer:
    """A connected sidecar: its last report and this entry's own counts."""

    name: str
    failure_domain: str
    backend: str
    incarnation: str
    queued: int
    running: int
    slots: int
    wait_ms: int
    """Predicted queueing time of a new request, as of the last report."""
    version: int | None
    in_rotation: bool
    leaving: bool
    reported_at: float
    in_flight: int = 0
    """Requests that this entry has sent and that have not ended."""
    windowed_in_flight: int = 0
    """Windowed requests among those in flight."""
    pending_streams: int = 0
    """Streams that this entry has sent and that have produced no event yet."""
    other_requests: int = 0
    """Requests of other entries, queued or running, as of the last report."""
    latency_ms: float = 0.0
    """Moving average of the latency of this entry's requests; 0 while unknown."""
    event_interval_ms: float = 0.0
    """Present time between two events of a stream; 0 while unknown."""
    outstanding: float = 0.0
    """Estimated number of requests queued or running now, of all entries."""
    is_listed_leaving: bool = False
    """Whether the host list marks the peer as leaving; independent of its own `leaving`."""
    weight: float = 1.0
    """Fraction of its usual requests that the peer gets, from 0 to 1; 0 while ejected."""
    models: collections.abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    window: windows.RequestWindow = dataclasses.field(default_factory=windows.RequestWindow)
    """Limits the windowed (deferrable) requests that this entry has in flight at the peer."""

    @property
    def load(self) -> float:
        """Estimated outstanding requests per slot."""
        return self.outstanding / max(1, self.slots)

    @property
    def is_usable(self) -> bool:
        """Whether the peer accepts new requests: it is in rotation and not leaving."""
        return self.in_rotation and not self.leaving and not self.is_listed_leaving

    @property
    def is_available(self) -> bool:
        """Whether the peer is not ejected and seems to have a free slot."""
        return self.weight > 0.0 and self.has_free_slot

    @property
    def has_free_slot(self) -> bool:
        """Whether this entry's own requests leave a slot free and no stream waits for one."""
        return self.in_flight < self.slots and not self.pending_streams

    @property
    def leaves_slots(self) -> bool:
        """Whether this entry's windowed requests are fewer than the peer runs at once."""
        return self.windowed_in_flight < max(1, self.slots)

    def can_take_windowed(self, now: float) -> bool:
        """Return whether one more windowed request may be sent to the peer now."""
        if self.pending_streams >= max(1, self.slots // _SLOTS_PER_PENDING_STREAM):
            return False
        return self.window.is_open(self.in_flight, self.slots, now)

    def apply_report(self, report: PeerReport, now: float) -> None:
        """Apply a report, whose counts include the requests that this entry has in flight."""
        self.failure_domain = report.failure_domain
        self.backend = report.backend
        self.queued = report.queued
        self.running = report.running
        self.slots = report.slots
        self.wait_ms = report.wait_ms
        self.version = report.version
        self.in_rotation = report.in_rotation
        self.leaving = self.leaving or report.leaving
        self.reported_at = now
        self.models = report.models
        self.other_requests = max(0, report.queued + report.running - self.in_flight)

    def record_latency(self, latency_ms: float) -> None:
        """Update the moving average of the latency."""
        weight = _LATENCY_EWMA_WEIGHT if self.latency_ms > 0.0 else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)


def create_peer(name: str, report: PeerReport, now: float) -> Peer:
    """Create a peer from its first report."""
    return Peer(
        name=name,
        failure_domain=report.failure_domain,
        backend=report.backend,
        incarnation=report.incarnation,
        queued=report.queued,
        running=report.running,
        slots=report.slots,
        wait_ms=report.wait_ms,
        version=report.version,
        in_rotation=report.in_rotation,
        leaving=report.leaving,
        reported_at=now,
        other_requests=report.queued + report.running,
        models=report.models,
    )
