"""
Chooses the backend server for each request by load, health, version and affinity.

A peer is a connected sidecar with its backend server. A windowed request is a deferrable one,
which is sent only to a peer whose request window is open.
"""

import collections.abc
import dataclasses
import enum
import random
import threading

import expression

from oleander_base import clock, log
from oleander_routing import health, loads, peers, preferred, selection, server_speed

NO_PEERS = "no-peers"
"""No backend server of that name is connected."""
NONE_IN_ROTATION = "none-in-rotation"
"""All servers of the backend are leaving or out of rotation."""
NO_VERSION = "no-version"
"""No usable server has loaded the required weight version."""
ALL_EXCLUDED = "all-excluded"
"""All servers that could run the request were tried already."""

WINDOWS_FULL = "windows-full"
"""The request windows of all servers that could run the request are full."""

_MAX_PEERS = 4096
"""Bounds the memory; further peers are ignored."""
_PROBE_FRACTION = 0.01
"""Fraction of first attempts that go to an ejected peer as a probe."""
_WINDOWED_PROBE_FRACTION = 0.05
"""Fraction of windowed requests that are probes: one or two in a batch of about fifty."""
_MIN_RETRY_AFTER_MS = 50
_DEFAULT_RETRY_AFTER_MS = 1000
"""Retry time if no eligible peer is left whose predicted waiting time could be used."""


class RouteOutcome(enum.Enum):
    """How a request that was sent to a peer ended."""

    OK = "ok"
    REFUSED = "refused"
    """Refused without being run; doesn't count as a failure of the peer."""
    FAILED = "failed"
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """The requirements by which a peer is chosen."""

    backend: str
    affinity: str
    """The prompt prefix, for the peers' prefix caches; empty for no affinity."""
    priority: int
    oldest_version: int
    """The lowest acceptable weight version; -1 if any will do."""
    excluded: frozenset[str]
    """Names of peers that must not be chosen, as they were tried already."""
    budget_ms: int
    may_probe: bool = True
    """Whether the request may probe an ejected peer; False for non-repeatable requests."""
    model: str = ""
    """The model to which `oldest_version` applies, if peers have several models."""
    is_windowed: bool = False
    """Whether the request is deferrable: sent only to a peer whose request window is open."""
    expected_events: float = 0.0
    """Expected number of events in its stream; 0 if unknown."""
    exact_version: int | None = None
    """The only acceptable weight version, of a text that must not have several; None if any from
    `oldest_version` on will do."""
    keeps_to_slots: bool = False
    """Whether a windowed request is sent only to a server that has fewer windowed requests of this
    entry than it runs at once, so that other requests need not wait behind them."""


@dataclasses.dataclass(slots=True, frozen=True)
class FreePeer:
    """A peer that seems to have a free slot."""

    name: str
    event_interval_ms: float
    """Average time between two events of a stream; 0 if unknown."""
    version: int | None = None
    """The weight version that it has loaded, of the model in question; None if unknown."""


@dataclasses.dataclass(slots=True, frozen=True)
class Outlook:
    """The expected speed of a backend's peers, and those to which running work may be moved."""

    forecasts: collections.abc.Mapping[str, server_speed.Forecast]
    """By name of the peer."""
    targets: tuple[str, ...]
    """Names of the peers that seem to have a free slot and are not slow now."""
    versions: collections.abc.Mapping[str, int | None]
    """The weight version that each target has loaded; None if unknown."""


@dataclasses.dataclass(slots=True, frozen=True)
class NoPeer:
    """Why no peer can run a request now, and when to try again."""

    reason: str
    retry_after_ms: int


class Router:
    """
    Chooses among the peers of one entry; thread-safe.

    At most 4096 peers are kept; further ones are ignored and get no requests.
    """

    def __init__(
        self,
        seed: int,
        read_now: collections.abc.Callable[[], float] = clock.read_now,
        preferred_peers: preferred.PreferredPeers | None = None,
        has_connection: collections.abc.Callable[[str], bool] | None = None,
    ) -> None:
        """
        Create a router; `preferred_peers` applies to requests that aren't windowed.

        `has_connection` returns whether an idle connection to a peer is open. It is called while
        the router is locked, so it must not call the router.
        """
        self._random = random.Random(seed)
        self._preferred = preferred_peers or preferred.PreferredPeers("", 0)
        self._has_connection = has_connection
        self._read_now = read_now
        self._lock = threading.Lock()
        self._peers: dict[str, peers.Peer] = {}
        self._health = health.HealthTable()
        self._listed_leaving: frozenset[str] = frozenset()
        self._speeds = server_speed.ServerSpeedModel()

    def update(self, name: str, report: peers.PeerReport) -> None:
        """Apply a peer's report; one with a new incarnation resets the peer's state."""
        with self._lock:
            now = self._read_now()
            peer = self._peers.get(name)
            if peer is not None and peer.incarnation == report.incarnation:
                peer.apply_report(report, now)
            elif peer is None and len(self._peers) >= _MAX_PEERS:
                log.warn_bounded("too-many-peers", "peer limit reached, peer ignored", peer=name)
            else:
                self._health.reset_if_restarted(name, report.incarnation)
                if peer is not None:
                    self._speeds.forget(name)
                self._peers[name] = peers.create_peer(name, report, now)
            self._update_listed_leaving(name)
            self._health.readmit_excess(self._list_usable(report.backend), now)

    def remove(self, name: str) -> None:
        """Remove a peer whose link was lost; its health is kept."""
        with self._lock:
            peer = self._peers.pop(name, None)
            if peer is not None:
                self._health.readmit_excess(self._list_usable(peer.backend), self._read_now())

    def set_listed_leaving(self, names: frozenset[str]) -> None:
        """
        Set which peers the host list marks as leaving; these get no more requests.

        Replaces the earlier set, so that a correction of the host list takes effect without a
        restart. The names are stored apart from the peers, because a peer is removed when its
        link is lost: a leaving host whose link broke while the host list was unavailable got work
        again.
        """
        with self._lock:
            self._listed_leaving = names
            for name in self._peers:
                self._update_listed_leaving(name)
            for backend in {peer.backend for peer in self._peers.values()}:
                self._health.readmit_excess(self._list_usable(backend), self._read_now())

    def choose(self, request: RouteRequest) -> expression.Result[str, NoPeer]:
        """Return the name of the peer that is to run a request, or why there is none."""
        with self._lock:
            candidates = self._find_candidates(request)
            if candidates.is_error():
                return expression.Error(candidates.error)
            return expression.Ok(self._pick(candidates.ok, request).name)

    def record_started(self, name: str, is_windowed: bool = False) -> None:
        """Record that a request is being sent to a peer."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                peer.in_flight += 1
                if is_windowed:
                    peer.windowed_in_flight += 1
                    peer.window.record_started(self._read_now(), self._random.random())

    def add_pending_stream(self, name: str) -> None:
        """Record a stream that was sent to a peer and has produced no event yet."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                peer.pending_streams += 1

    def remove_pending_stream(self, name: str) -> None:
        """Record that a pending stream has produced its first event, or ended without one."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                peer.pending_streams = max(0, peer.pending_streams - 1)

    def record_first_event(self, name: str, wait_ms: float) -> None:
        """Record the first event of a stream, and the time since the stream was requested."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                now = self._read_now()
                self._speeds.record_first_event(peer.backend, name, wait_ms / 1000, now)

    def record_event_interval(self, name: str, event_interval_ms: float) -> None:
        """Record an event of a stream, and the time since the event before it."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                now = self._read_now()
                self._speeds.record_event(peer.backend, name, event_interval_ms / 1000, now)
                peer.event_interval_ms = self._speeds.read_interval(name, now) * 1000

    def read_outlook(self, request: RouteRequest) -> Outlook:
        """
        Return the forecasts for a backend, and where work that runs may be moved.

        Peers that refuse requests, are slow now, or whose weights are too old are no targets: the
        cancelled work would wait, or would be sent back to the peer that it came from.
        """
        with self._lock:
            now = self._read_now()
            forecasts = {
                peer.name: self._predict(peer, now)
                for peer in self._peers.values()
                if peer.backend == request.backend
            }
            candidates = self._find_candidates(request)
            targets = [
                peer
                for peer in (candidates.ok if candidates.is_ok() else ())
                if peer.is_available
                and not peer.window.is_refusing
                and not forecasts[peer.name].is_slow
            ]
            versions = {peer.name: _find_version(peer, request) for peer in targets}
        return Outlook(forecasts, tuple(versions), versions)

    def predict_wait(self, backend: str, elapsed_seconds: float) -> float:
        """Return how much longer a stream whose event is overdue is expected to wait for it."""
        with self._lock:
            return self._speeds.predict_wait(backend, elapsed_seconds)

    def record_accepted(self, name: str, started_at: float) -> None:
        """Record that a peer has begun to run, or has answered, a request sent at `started_at`."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                was_refusing = peer.window.is_refusing
                peer.window.record_accepted(started_at)
                _log_window_change(peer, was_refusing)

    def record_finished(
        self,
        name: str,
        outcome: RouteOutcome,
        service_ms: float,
        now: float | None = None,
        is_windowed: bool = False,
    ) -> None:
        """Record how a request ended, and update the peer's window, latency and health."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is None:
                return
            peer.in_flight = max(0, peer.in_flight - 1)
            peer.windowed_in_flight = max(0, peer.windowed_in_flight - int(is_windowed))
            if outcome is RouteOutcome.REFUSED:
                was_refusing = peer.window.is_refusing
                peer.window.record_refused(self._read_now(), self._random.random())
                _log_window_change(peer, was_refusing)
                return
            if outcome is RouteOutcome.OK:
                peer.window.record_success(peer.slots)
            moment = self._read_now() if now is None else now
            group = self._list_usable(peer.backend)
            failed = outcome in {RouteOutcome.FAILED, RouteOutcome.TIMED_OUT}
            latency_ms = None if outcome is RouteOutcome.FAILED else service_ms
            if latency_ms is not None:
                peer.record_latency(latency_ms)
            self._health.record_outcome(name, group, failed, latency_ms, moment)

    def find_free_peer(self, request: RouteRequest) -> FreePeer | None:
        """
        Return the fastest healthy peer that seems to have a free slot, if any.

        Used to decide whether running work is cancelled to be run elsewhere. Peers that refuse
        requests or whose weights are too old are left out: the cancelled work would be sent back
        to the peers that it came from.
        """
        with self._lock:
            now = self._read_now()
            free = [
                FreePeer(peer.name, peer.event_interval_ms, _find_version(peer, request))
                for peer in self._peers.values()
                if peer.backend == request.backend
                and peer.is_usable
                and peer.has_free_slot
                and not peer.window.is_refusing
                and self._health.read_weight(peer.name, now) > 0.0
                and _has_version(peer, request)
            ]
        return min(
            free,
            key=lambda peer: (not peer.event_interval_ms, peer.event_interval_ms),
            default=None,
        )

    def has_spare_slots(self, backend: str) -> bool:
        """
        Return whether some healthy server may get one more request that keeps to the slots.

        It is True if no server is usable, because waiting for a slot would then be of no use.
        """
        with self._lock:
            now = self._read_now()
            usable = self._list_usable(backend)
            healthy = [name for name in usable if self._health.read_weight(name, now) > 0.0]
            return not usable or any(self._peers[name].leaves_slots for name in healthy or usable)

    def list_peers(self) -> list[peers.Peer]:
        """Return copies of all peers, with estimates as of now."""
        with self._lock:
            for backend in {peer.backend for peer in self._peers.values()}:
                self._refresh_estimates(
                    [peer for peer in self._peers.values() if peer.backend == backend]
                )
            return [dataclasses.replace(peer) for peer in self._peers.values()]

    def _update_listed_leaving(self, name: str) -> None:
        peer = self._peers.get(name)
        if peer is not None:
            peer.is_listed_leaving = name in self._listed_leaving

    def _list_usable(self, backend: str) -> list[str]:
        return [
            peer.name
            for peer in self._peers.values()
            if peer.backend == backend and peer.is_usable
        ]

    def _refresh_estimates(self, candidates: list[peers.Peer]) -> None:
        """Update the loads and weights, which change with time."""
        now = self._read_now()
        loads.estimate_loads(candidates, now)
        for peer in candidates:
            peer.weight = self._health.read_weight(peer.name, now)

    def _find_candidates(
        self, request: RouteRequest
    ) -> expression.Result[list[peers.Peer], NoPeer]:
        known = [peer for peer in self._peers.values() if peer.backend == request.backend]
        if not known:
            return expression.Error(self._refuse(NO_PEERS, _DEFAULT_RETRY_AFTER_MS))
        usable = [peer for peer in known if peer.is_usable]
        if not usable:
            return expression.Error(self._refuse(NONE_IN_ROTATION, _DEFAULT_RETRY_AFTER_MS))
        fresh = [peer for peer in usable if _has_version(peer, request)]
        if not fresh:
            return expression.Error(self._refuse(NO_VERSION, _DEFAULT_RETRY_AFTER_MS))
        candidates = [peer for peer in fresh if peer.name not in request.excluded]
        if not candidates:
            wait_ms = min(peer.wait_ms for peer in fresh)
            return expression.Error(self._refuse(ALL_EXCLUDED, wait_ms))
        if request.is_windowed:
            if request.keeps_to_slots:
                candidates = [peer for peer in candidates if peer.leaves_slots]
            candidates = self._filter_open_windows(candidates)
            if not candidates:
                return expression.Error(self._refuse(WINDOWS_FULL, _MIN_RETRY_AFTER_MS))
        self._refresh_estimates(candidates)
        if not request.is_windowed:
            candidates = self._preferred.narrow(usable, candidates)
        return expression.Ok(candidates)

    def _filter_open_windows(self, candidates: list[peers.Peer]) -> list[peers.Peer]:
        """
        Return the candidates whose windows are open, or none if only ejected ones are open.

        A server that refuses connections has nothing in flight, so its window stays open when all
        others are full, and waiting requests would be sent to it repeatedly. Ejected peers are
        therefore returned only beside a healthy one, or if all candidates are ejected. They must
        not be left out altogether, or they are never probed: a server that was slow for 8 s got
        no batch work from that process for the rest of the day.
        """
        now = self._read_now()
        open_peers = [peer for peer in candidates if _can_take_windowed(peer, now)]
        weights = {peer.name: self._health.read_weight(peer.name, now) for peer in candidates}
        if not any(weights.values()) or any(weights[peer.name] for peer in open_peers):
            return open_peers
        return []

    def _pick(self, candidates: list[peers.Peer], request: RouteRequest) -> peers.Peer:
        probed = self._pick_probe(candidates, request)
        if probed is not None:
            return probed
        trusted = [peer for peer in candidates if peer.weight > 0.0]
        if not trusted:
            return min(candidates, key=lambda peer: peer.load)
        if request.is_windowed and request.expected_events:
            trusted = self._filter_by_speed(trusted, request)
        if request.affinity:
            cached = selection.pick_by_affinity(trusted, request.affinity, request.budget_ms)
            if cached is not None:
                return cached
        picked = selection.pick_by_load(trusted, request.budget_ms, self._random)
        if self._has_connection is None:
            return picked
        return selection.prefer_connected(picked, trusted, self._has_connection, self._random)

    def _filter_by_speed(
        self, candidates: list[peers.Peer], request: RouteRequest
    ) -> list[peers.Peer]:
        now = self._read_now()
        forecasts = {peer.name: self._predict(peer, now) for peer in candidates}
        return selection.filter_by_forecast(candidates, forecasts, request.expected_events)

    def _predict(self, peer: peers.Peer, now: float) -> server_speed.Forecast:
        has_streams = peer.in_flight > peer.pending_streams
        return self._speeds.predict(peer.backend, peer.name, now, has_streams)

    def _pick_probe(
        self, candidates: list[peers.Peer], request: RouteRequest
    ) -> peers.Peer | None:
        """Return an ejected peer for a small fraction of first attempts, one probe at a time."""
        if not request.may_probe or request.excluded:
            return None
        ejected = [peer for peer in candidates if peer.weight == 0.0 and not peer.in_flight]
        fraction = _WINDOWED_PROBE_FRACTION if request.is_windowed else _PROBE_FRACTION
        if not ejected or self._random.random() >= fraction:
            return None
        return self._random.choice(ejected)

    def _refuse(self, reason: str, wait_ms: int) -> NoPeer:
        """Return a refusal; the jitter keeps callers from all retrying at the same time."""
        retry_after_ms = max(_MIN_RETRY_AFTER_MS, wait_ms) * (1.0 + self._random.random())
        return NoPeer(reason, int(retry_after_ms))


def _find_version(peer: peers.Peer, request: RouteRequest) -> int | None:
    return peer.models.get(request.model) if request.model else peer.version


def _has_version(peer: peers.Peer, request: RouteRequest) -> bool:
    if request.oldest_version < 0 and request.exact_version is None:
        return True
    version = _find_version(peer, request)
    if version is None or version < request.oldest_version:
        return False
    return request.exact_version is None or version == request.exact_version


def _can_take_windowed(peer: peers.Peer, now: float) -> bool:
    was_refusing = peer.window.is_refusing
    is_open = peer.can_take_windowed(now)
    _log_window_change(peer, was_refusing)
    return is_open


def _log_window_change(peer: peers.Peer, was_refusing: bool) -> None:
    """Log when a peer starts to refuse windowed requests, and when it accepts them again."""
    if peer.window.is_refusing != was_refusing:
        event = "server-takes" if was_refusing else "server-refuses"
        log.logger.bind(event=event, server=peer.name, window=round(peer.window.size, 2)).info(
            "windowed requests"
        )
