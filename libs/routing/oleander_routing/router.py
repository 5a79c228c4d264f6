"""Chooses the backend server of a request from what is known of all of them."""

import collections.abc
import dataclasses
import enum
import random
import threading

import expression

from oleander_base import clock, log
from oleander_routing import health, loads, peers, preferred, selection

NO_PEERS = "no-peers"
"""No backend server of that name is connected."""
NONE_IN_ROTATION = "none-in-rotation"
"""All of them are leaving or out of rotation."""
NO_VERSION = "no-version"
"""None of them has weights that are new enough."""
ALL_EXCLUDED = "all-excluded"
"""All that could have run it were tried already."""

WINDOWS_FULL = "windows-full"
"""All that could run it have as much of this entry as they may."""

_MAX_PEERS = 4096
_PROBE_FRACTION = 0.01
"""The part of requests that may probe an ejected peer."""
_WINDOWED_PROBE_FRACTION = 0.05
"""The same of work that can wait, which comes by some fifty at a time: one or two of them."""
_MIN_RETRY_AFTER_MS = 50
_DEFAULT_RETRY_AFTER_MS = 1000


class RouteOutcome(enum.Enum):
    """What became of a request at a peer."""

    OK = "ok"
    REFUSED = "refused"
    """It was refused as not run, which says nothing against the peer."""
    FAILED = "failed"
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """What a request needs of a peer."""

    backend: str
    affinity: str
    """The prompt prefix; may be empty."""
    priority: int
    oldest_version: int
    """Peers with older weights are of no use; -1 where weights don't matter."""
    excluded: frozenset[str]
    """Peers that were tried already."""
    budget_ms: int
    may_probe: bool = True
    """Whether it may be sent to a peer that failed lately; false where it can't be repeated."""
    model: str = ""
    """The model that `oldest_version` is of, where peers have several."""
    is_windowed: bool = False
    """Whether it waits while the peers' windows are full."""
    expected_events: float = 0.0
    """How many events its stream is expected to have; 0 where that is unknown."""


@dataclasses.dataclass(slots=True, frozen=True)
class FreePeer:
    """A peer that could begin with a request at once."""

    name: str
    event_interval_ms: float
    """From one event of a stream to the next; 0 where that is unknown."""


@dataclasses.dataclass(slots=True, frozen=True)
class NoPeer:
    """No peer can run the request now."""

    reason: str
    retry_after_ms: int


class Router:
    """
    The peers of one entry; safe to use from several threads.

    At most 4096 peers are known; past that a new one is not taken in, and gets no work.
    """

    def __init__(
        self,
        seed: int,
        read_now: collections.abc.Callable[[], float] = clock.read_now,
        preferred_peers: preferred.PreferredPeers | None = None,
    ) -> None:
        """Keep to the preferred peers, where they are given, with work that can't wait."""
        self._random = random.Random(seed)
        self._preferred = preferred_peers or preferred.PreferredPeers("", 0)
        self._read_now = read_now
        self._lock = threading.Lock()
        self._peers: dict[str, peers.Peer] = {}
        self._health = health.HealthTable()
        self._listed_leaving: frozenset[str] = frozenset()

    def update(self, name: str, report: peers.PeerReport) -> None:
        """Take in a report; one of a new incarnation starts the peer anew."""
        with self._lock:
            now = self._read_now()
            peer = self._peers.get(name)
            if peer is not None and peer.incarnation == report.incarnation:
                peer.apply_report(report, now)
            elif peer is None and len(self._peers) >= _MAX_PEERS:
                log.warn_bounded("too-many-peers", "a peer is not taken in", peer=name)
            else:
                self._health.reset_if_restarted(name, report.incarnation)
                self._peers[name] = peers.create_peer(name, report, now)
            self._update_listed_leaving(name)
            self._health.readmit_excess(self._list_usable(report.backend), now)

    def remove(self, name: str) -> None:
        """Forget a peer whose link was lost."""
        with self._lock:
            peer = self._peers.pop(name, None)
            if peer is not None:
                self._health.readmit_excess(self._list_usable(peer.backend), self._read_now())

    def set_listed_leaving(self, names: frozenset[str]) -> None:
        """
        Give no more work to the peers that the host list says are leaving, and to no others.

        The names are kept apart from what is known of each peer. Kept with the peer they were
        lost with its link, and a leaving host whose link broke while the list was down got work
        again; and a list that was wrong and put right would have no effect until a restart.
        """
        with self._lock:
            self._listed_leaving = names
            for name in self._peers:
                self._update_listed_leaving(name)
            for backend in {peer.backend for peer in self._peers.values()}:
                self._health.readmit_excess(self._list_usable(backend), self._read_now())

    def choose(self, request: RouteRequest) -> expression.Result[str, NoPeer]:
        """Return the peer that is to run a request, or why there is none."""
        with self._lock:
            candidates = self._find_candidates(request)
            if candidates.is_error():
                return expression.Error(candidates.error)
            return expression.Ok(self._pick(candidates.ok, request).name)

    def record_started(self, name: str, is_windowed: bool = False) -> None:
        """Count a request that is being sent to a peer."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                peer.in_flight += 1
                if is_windowed:
                    peer.window.record_started(self._read_now(), self._random.random())

    def add_pending_stream(self, name: str) -> None:
        """Count a stream that was sent to a peer and has not begun."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                peer.pending_streams += 1

    def remove_pending_stream(self, name: str) -> None:
        """Count a stream no longer that has begun, or has ended without beginning."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                peer.pending_streams = max(0, peer.pending_streams - 1)

    def record_event_interval(self, name: str, event_interval_ms: float) -> None:
        """Update the rate of a peer: the time from one event of a stream to the next."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                peer.record_event_interval(event_interval_ms)

    def record_accepted(self, name: str, started_at: float) -> None:
        """Take in that a peer has begun with a request that was sent at this time, or ran it."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is not None:
                was_refusing = peer.window.is_refusing
                peer.window.record_accepted(started_at)
                _log_window_change(peer, was_refusing)

    def record_finished(
        self, name: str, outcome: RouteOutcome, service_ms: float, now: float | None = None
    ) -> None:
        """Count a request that ended, and judge the peer by it."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is None:
                return
            peer.in_flight = max(0, peer.in_flight - 1)
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
        Return the fastest trusted peer with the version that seems to have a free slot, if any.

        Peers that refuse work or whose weights are too old count for nothing: work that is
        cancelled for a place there only goes back to those that it came from.
        """
        with self._lock:
            now = self._read_now()
            free = [
                FreePeer(peer.name, peer.event_interval_ms)
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

    def list_peers(self) -> list[peers.Peer]:
        """Return copies of all peers as they are now."""
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
        """Bring up to date what changes with time."""
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
            candidates = self._filter_open_windows(candidates)
            if not candidates:
                return expression.Error(self._refuse(WINDOWS_FULL, _MIN_RETRY_AFTER_MS))
        self._refresh_estimates(candidates)
        if not request.is_windowed:
            candidates = self._preferred.narrow(usable, candidates)
        return expression.Ok(candidates)

    def _filter_open_windows(self, candidates: list[peers.Peer]) -> list[peers.Peer]:
        """
        Return the peers whose windows are open; ejected ones beside others, to be probed.

        A server that refuses connections has nothing in flight, so its window is open when all
        others are full; work that only waits for a place would be sent there over and over. So
        where no trusted peer is open there is none, unless all are ejected. Left out altogether
        an ejected peer never came back: a server that was slow for 8 s got no batch work of that
        process for the rest of the day.
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
        if request.is_windowed:
            trusted = selection.filter_by_event_interval(trusted, request.expected_events)
        if request.affinity:
            cached = selection.pick_by_affinity(trusted, request.affinity, request.budget_ms)
            if cached is not None:
                return cached
        return selection.pick_by_load(trusted, request.budget_ms, self._random)

    def _pick_probe(
        self, candidates: list[peers.Peer], request: RouteRequest
    ) -> peers.Peer | None:
        """Return an ejected peer to try, for a small part of first attempts; one at a time."""
        if not request.may_probe or request.excluded:
            return None
        ejected = [peer for peer in candidates if peer.weight == 0.0 and not peer.in_flight]
        fraction = _WINDOWED_PROBE_FRACTION if request.is_windowed else _PROBE_FRACTION
        if not ejected or self._random.random() >= fraction:
            return None
        return self._random.choice(ejected)

    def _refuse(self, reason: str, wait_ms: int) -> NoPeer:
        """Return a refusal; the jitter keeps those refused together from coming back together."""
        retry_after_ms = max(_MIN_RETRY_AFTER_MS, wait_ms) * (1.0 + self._random.random())
        return NoPeer(reason, int(retry_after_ms))


def _has_version(peer: peers.Peer, request: RouteRequest) -> bool:
    if request.oldest_version < 0:
        return True
    version = peer.models.get(request.model) if request.model else peer.version
    return version is not None and version >= request.oldest_version


def _can_take_windowed(peer: peers.Peer, now: float) -> bool:
    was_refusing = peer.window.is_refusing
    is_open = peer.can_take_windowed(now)
    _log_window_change(peer, was_refusing)
    return is_open


def _log_window_change(peer: peers.Peer, was_refusing: bool) -> None:
    """Log that a peer has begun to refuse, or takes work again."""
    if peer.window.is_refusing != was_refusing:
        event = "server-takes" if was_refusing else "server-refuses"
        log.logger.bind(event=event, server=peer.name, window=round(peer.window.size, 2)).info(
            "work that can wait"
        )
