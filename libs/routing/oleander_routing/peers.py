"""What an entry knows of the sidecars that it is connected to."""

import collections.abc
import dataclasses

from oleander_routing import windows

_LATENCY_EWMA_WEIGHT = 0.1
_EVENT_INTERVAL_EWMA_WEIGHT = 0.25
_SLOTS_PER_PENDING_STREAM = 3
"""One request for so many slots may be queued at a peer: a slot that becomes free is then filled
without a round trip, and all other requests can still go wherever a slot is free."""


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReport:
    """What a sidecar says of itself."""

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
    """The version of each model, where a backend server has several."""


@dataclasses.dataclass(slots=True)
class Peer:
    """A sidecar: its last report, and what this entry did with it since."""

    name: str
    failure_domain: str
    backend: str
    incarnation: str
    queued: int
    running: int
    slots: int
    wait_ms: int
    """How long a new request would have waited when this was reported."""
    version: int | None
    in_rotation: bool
    leaving: bool
    reported_at: float
    in_flight: int = 0
    """Requests of this entry that were started and not finished."""
    pending_streams: int = 0
    """Streams of this entry that were sent and have not begun."""
    other_requests: int = 0
    """Requests of other entries that waited or ran there by the last report."""
    latency_ms: float = 0.0
    """How long this entry's requests take there, as a moving average; 0 while unknown."""
    event_interval_ms: float = 0.0
    """From one event of a stream to the next, as a moving average; 0 while unknown."""
    outstanding: float = 0.0
    """How many requests are estimated to wait or run there now."""
    is_listed_leaving: bool = False
    """Whether the host list says that it is leaving, whatever it says itself."""
    weight: float = 1.0
    """The part of its usual work that it is given; 0 while it is ejected."""
    models: collections.abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    window: windows.RequestWindow = dataclasses.field(default_factory=windows.RequestWindow)
    """How much of this entry's work that can wait it may have."""

    @property
    def load(self) -> float:
        """Outstanding requests for each slot."""
        return self.outstanding / max(1, self.slots)

    @property
    def is_usable(self) -> bool:
        """Whether it takes new work."""
        return self.in_rotation and not self.leaving and not self.is_listed_leaving

    @property
    def is_available(self) -> bool:
        """Whether it is trusted and this entry has fewer requests there than it has slots."""
        return self.weight > 0.0 and self.has_free_slot

    @property
    def has_free_slot(self) -> bool:
        """Whether it seems to have a free slot: what this entry sent there has all begun."""
        return self.in_flight < self.slots and not self.pending_streams

    def can_take_windowed(self, now: float) -> bool:
        """Whether one more windowed request may be sent."""
        if self.pending_streams >= max(1, self.slots // _SLOTS_PER_PENDING_STREAM):
            return False
        return self.window.is_open(self.in_flight, self.slots, now)

    def apply_report(self, report: PeerReport, now: float) -> None:
        """Take in a report; it counts all that this entry started before it."""
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
        """Take in how long a request took."""
        weight = _LATENCY_EWMA_WEIGHT if self.latency_ms > 0.0 else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)

    def record_event_interval(self, event_interval_ms: float) -> None:
        """Update the moving average of the time from one event of a stream to the next."""
        weight = _EVENT_INTERVAL_EWMA_WEIGHT if self.event_interval_ms > 0.0 else 1.0
        self.event_interval_ms += weight * (event_interval_ms - self.event_interval_ms)


def create_peer(name: str, report: PeerReport, now: float) -> Peer:
    """Return a peer as its first report describes it."""
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
