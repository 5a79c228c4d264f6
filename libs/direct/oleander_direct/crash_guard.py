"""Detection of requests that crash the backend servers running them."""

import abc
import collections
import collections.abc
import dataclasses
import enum
import threading

from oleander_base import clock, log, metrics
from oleander_direct import directory, fingerprints, servers, unanswered
from oleander_quarantine import ledger, records

_MAX_LOST_SERVERS = 256
"""How many lost servers are remembered, to attribute their loss to attempts that end later."""


class CrashPublisher(abc.ABC):
    """Announces crashes to the other processes without blocking."""

    @abc.abstractmethod
    def publish(self, crash: records.Crash) -> None:
        """Announce a crash."""

    @abc.abstractmethod
    def withdraw(self, keys: list[records.CrashKey]) -> None:
        """Announce that earlier crashes no longer count."""


class AttemptEnd(enum.Enum):
    """How an attempt at a server ended."""

    NOT_SENT = "not-sent"
    ANSWERED = "answered"
    """The server ran the request and answered with success or a client error."""
    RESPONDED = "heard"
    """The server answered that it failed or did not run the request."""
    NO_ANSWER = "no-answer"
    SERVER_ENDED = "server-ended"
    """The server closed the connection early and accepts no new ones."""


@dataclasses.dataclass(slots=True, frozen=True)
class CrashWatch:
    """An attempt that is registered with the guard while it runs."""

    request_id: str
    fingerprint: str
    server: servers.Server
    is_suspect: bool
    """Whether a crash was recorded for the request before this attempt started."""
    is_owed: bool
    """Whether the request is work of a batch, for which no crash is recorded."""


class CrashGuard:
    """
    Records crashes from this process's attempts in the crash ledger; thread-safe.

    A crash is the loss of a server that was running a request. A request with recorded crashes
    is a suspect: it is kept apart from other suspects, and in quarantine it is not sent at all.

    No crash is recorded for an item of a batch or its scoring, which were accepted and are owed:
    a record would also bar the item when a later batch contains it again, at every entry. They do
    count as running beside a caller's request.
    """

    def __init__(
        self,
        directory_: directory.Directory,
        crashes: ledger.CrashLedger,
        publisher: CrashPublisher,
        read_now: collections.abc.Callable[[], float] = clock.read_now,
    ) -> None:
        self._directory = directory_
        self._ledger = crashes
        self._publisher = publisher
        self._lock = threading.Lock()
        self._running_counts: collections.Counter[str] = collections.Counter()
        self._shared_incarnations: set[str] = set()
        self._suspect_counts: collections.Counter[str] = collections.Counter()
        self._unanswered = unanswered.UnansweredAttempts(read_now)
        self._lost_incarnations: collections.deque[str] = collections.deque(
            maxlen=_MAX_LOST_SERVERS
        )
        directory_.add_loss_callback(self.record_loss)

    def find_quarantine(self, request: servers.CallRequest) -> clock.Deadline | None:
        """Return the end of a caller's request's quarantine, or None if it is in none."""
        if self._ledger.is_empty:
            return None
        return self._ledger.find_quarantine(fingerprints.compute_fingerprint(request))

    def is_suspect(self, request: servers.CallRequest) -> bool:
        """Return whether crashes are recorded for a request that no server has answered since."""
        if self._ledger.is_empty:
            return False
        return self._ledger.is_suspect(fingerprints.compute_fingerprint(request))

    def list_suspect_servers(self) -> frozenset[str]:
        """Return the ids of servers at which this process is running a suspect request."""
        with self._lock:
            return frozenset(self._suspect_counts)

    def begin(
        self, request: servers.CallRequest, server: servers.Server, is_owed: bool = False
    ) -> CrashWatch:
        """
        Register an attempt at a server; the caller must pass the result to `finish`.

        `is_owed` tells that it is for an item of a batch or its scoring.
        """
        fingerprint = "" if is_owed else fingerprints.compute_fingerprint(request)
        is_suspect = not is_owed and self._ledger.is_suspect(fingerprint)
        watch = CrashWatch(request.request_id, fingerprint, server, is_suspect, is_owed)
        with self._lock:
            self._running_counts[server.incarnation] += 1
            if self._running_counts[server.incarnation] > 1:
                self._shared_incarnations.add(server.incarnation)
            if is_suspect:
                self._suspect_counts[server.server_id] += 1
        return watch

    def finish(self, watch: CrashWatch, end: AttemptEnd) -> None:
        """Record how an attempt ended and unregister it."""
        if end in {AttemptEnd.ANSWERED, AttemptEnd.RESPONDED}:
            self._record_sign_of_life(watch.server)
        if not watch.is_owed:
            self._record_end(watch, end)
        self._unregister(watch)

    def record_loss(self, server: servers.Server) -> None:
        """Record crashes for the loss of a server that had not announced that it would leave."""
        with self._lock:
            self._lost_incarnations.append(server.incarnation)
            attempts = self._unanswered.pop_incarnation(server.incarnation)
        for item in attempts:
            crash = records.create_crash(item.fingerprint, item.incarnation, item.was_alone)
            self._record_and_publish(crash, item.request_id)

    def _record_end(self, watch: CrashWatch, end: AttemptEnd) -> None:
        if end is AttemptEnd.SERVER_ENDED:
            self._record_crash(watch)
        elif end is AttemptEnd.NO_ANSWER:
            self._record_no_answer(watch)
        elif end is AttemptEnd.ANSWERED:
            self._record_answer(watch)

    def _record_crash(self, watch: CrashWatch) -> None:
        """Record a crash, unless the server was leaving or unlisted and so ended as planned."""
        server = watch.server
        listed = self._directory.find_server(server.server_id)
        if listed is None or listed.is_leaving:
            return
        crash = records.create_crash(
            watch.fingerprint, server.incarnation, self._was_alone(server)
        )
        self._record_and_publish(crash, watch.request_id)

    def _record_no_answer(self, watch: CrashWatch) -> None:
        """Record a missing answer, which is a crash if the server is already known to be lost."""
        incarnation = watch.server.incarnation
        was_alone = self._was_alone(watch.server)
        listed = self._directory.find_server(watch.server.server_id)
        is_listed = listed is not None and listed.incarnation == incarnation
        with self._lock:
            is_lost = incarnation in self._lost_incarnations and not is_listed
            if not is_lost:
                self._unanswered.add(watch.request_id, watch.fingerprint, incarnation, was_alone)
        if is_lost:
            crash = records.create_crash(watch.fingerprint, incarnation, was_alone)
            self._record_and_publish(crash, watch.request_id)

    def _record_sign_of_life(self, server: servers.Server) -> None:
        """Record that a server is alive, so earlier unanswered attempts did not crash it."""
        with self._lock:
            self._unanswered.pop_incarnation(server.incarnation)

    def _record_answer(self, watch: CrashWatch) -> None:
        """Record that a server ran a request and answered it, which clears its crashes."""
        dropped = self._ledger.record_answer(watch.fingerprint)
        if not dropped:
            return
        self._publisher.withdraw(dropped)
        log.logger.bind(
            event="crash-cleared",
            id=watch.request_id,
            request=watch.fingerprint,
            crashes=len(dropped),
        ).info("crashes cleared, since a server answered the request")

    def _was_alone(self, server: servers.Server) -> bool:
        with self._lock:
            return server.incarnation not in self._shared_incarnations

    def _record_and_publish(self, crash: records.Crash, request_id: str) -> None:
        if not self._ledger.record_crash(crash.key, crash.was_alone):
            return
        metrics.count(metrics.CRASHES)
        self._publisher.publish(crash)
        quarantine = self._ledger.find_quarantine(crash.key.fingerprint)
        log.logger.bind(
            event="crash",
            id=request_id,
            request=crash.key.fingerprint,
            server=crash.incarnation,
            was_alone=crash.was_alone,
            quarantine_s=int(quarantine.remaining) if quarantine else 0,
        ).info("a server ended while running a request")

    def _unregister(self, watch: CrashWatch) -> None:
        server = watch.server
        with self._lock:
            _decrement(self._running_counts, server.incarnation)
            if server.incarnation not in self._running_counts:
                self._shared_incarnations.discard(server.incarnation)
            if watch.is_suspect:
                _decrement(self._suspect_counts, server.server_id)


def _decrement(counts: collections.Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        del counts[name]
