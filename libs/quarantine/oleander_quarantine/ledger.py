"""The crashes recorded for each request, and the quarantines that follow from them."""

import collections
import collections.abc
import dataclasses
import random
import threading

from oleander_base import clock
from oleander_quarantine import records

CRASH_THRESHOLD = 3
"""How many crashes lead to a quarantine if the servers were also running other requests."""
CRASH_ALONE_THRESHOLD = 2
"""
How many crashes lead to a quarantine if the request was the only one running.

Fewer are needed then, since no other request can be the cause.
"""
CALL_QUARANTINE_SECONDS = 60.0
"""
The first quarantine of a caller's request.

Each further crash doubles it, so that a request that never succeeds is tried less and less often.
"""
LOAD_QUARANTINE_SECONDS = 4.0
"""
The first quarantine of a weight version.

It is short, since steps wait for the version.
"""
MAX_LOAD_QUARANTINE_SECONDS = 16.0
"""The longest quarantine of a weight version, which may be sound and have met many crashes."""
MAX_QUARANTINE_SECONDS = 6 * 3600.0
"""The longest quarantine of a caller's request, at which the doubling stops."""
_MAX_DOUBLINGS = 20  # 2.0 ** 1024 overflows
_EXPIRY_FACTOR = 2.0
"""Crashes expire after this many times the length of the quarantine that they led to."""
_EXPIRY_JITTER = 0.5
"""
The largest random fraction by which the expiry is delayed.

So one process removes the shared records first, rather than all processes at the same time.
"""
_MAX_SUSPECTS = 4096
"""When more requests have crashes, the one whose crashes were recorded first is evicted."""
_MAX_CLEARED = 1024
"""When more requests are remembered as answered, the one answered longest ago is evicted."""
_CLEARED_SECONDS = 60.0
"""How long after an answer no crashes are recorded for a request."""


@dataclasses.dataclass(slots=True)
class _Suspect:
    """The crashes that are recorded for one request."""

    crashes: dict[str, bool] = dataclasses.field(default_factory=dict)
    """Whether the request ran alone at each lost server, by the hash of its incarnation."""
    crashed_at: float = 0.0
    """When the newest crash was recorded, in monotonic seconds."""
    expires_at: float = 0.0
    """When the crashes are to be removed, in monotonic seconds."""

    @property
    def crashes_over_threshold(self) -> int:
        """How far the crashes exceed the threshold; negative if they lead to no quarantine."""
        alone = sum(self.crashes.values())
        return max(len(self.crashes) - CRASH_THRESHOLD, alone - CRASH_ALONE_THRESHOLD)

    def compute_release_time(self, initial_seconds: float, max_seconds: float) -> float:
        """Return the end of the quarantine in monotonic seconds, given its bounds."""
        doublings = min(_MAX_DOUBLINGS, max(0, self.crashes_over_threshold))
        return self.crashed_at + min(max_seconds, initial_seconds * 2.0**doublings)


class CrashLedger:
    """
    Records crashes by request fingerprint and derives quarantines from them; thread-safe.

    The crash of a server doesn't show which of its requests was the cause. A request that was
    running in the crashes of several servers is the cause, or shared each server with it. A
    request that a server answered is not the cause: its crashes are dropped, and for a while
    further ones don't count, since a request that is sent all the time is running whenever
    servers are lost.

    After its quarantine a request may be sent to servers again, and the next crash leads to a
    quarantine twice as long.
    """

    def __init__(
        self, seed: int, read_now: collections.abc.Callable[[], float] = clock.read_now
    ) -> None:
        self._random = random.Random(seed)
        self._read_now = read_now
        self._lock = threading.Lock()
        self._suspects: dict[str, _Suspect] = {}
        self._cleared_until: collections.OrderedDict[str, float] = collections.OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no crashes are recorded."""
        return not self._suspects

    def record_crash(self, key: records.CrashKey, was_alone: bool) -> bool:
        """Record a crash; return False if it was known or its request was answered recently."""
        with self._lock:
            if self._is_cleared(key.fingerprint):
                return False
            suspect = self._suspects.setdefault(key.fingerprint, _Suspect())
            if key.incarnation_hash in suspect.crashes:
                return False
            suspect.crashes[key.incarnation_hash] = was_alone
            self._update_expiry(suspect)
            while len(self._suspects) > _MAX_SUSPECTS:
                del self._suspects[next(iter(self._suspects))]
            return True

    def record_answer(self, fingerprint: str) -> list[records.CrashKey]:
        """Record that a server answered a request, and return the crashes dropped for it."""
        with self._lock:
            self._cleared_until[fingerprint] = self._read_now() + _CLEARED_SECONDS
            self._cleared_until.move_to_end(fingerprint)
            if len(self._cleared_until) > _MAX_CLEARED:
                self._cleared_until.popitem(last=False)
            return self._pop_crashes(fingerprint)

    def remove_crash(self, key: records.CrashKey) -> None:
        """Remove a crash that another process has withdrawn."""
        with self._lock:
            suspect = self._suspects.get(key.fingerprint)
            if suspect is None:
                return
            suspect.crashes.pop(key.incarnation_hash, None)
            if not suspect.crashes:
                del self._suspects[key.fingerprint]

    def pop_expired(self) -> list[records.CrashKey]:
        """Remove the crashes that have expired, and return their keys."""
        with self._lock:
            now = self._read_now()
            expired = [name for name, item in self._suspects.items() if item.expires_at <= now]
            return [key for name in expired for key in self._pop_crashes(name)]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether any crashes are recorded for a request."""
        return fingerprint in self._suspects

    def is_recurrent(self, fingerprint: str) -> bool:
        """Return whether a request's crashes reach the threshold, even after its quarantine."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return suspect is not None and suspect.crashes_over_threshold >= 0

    def find_quarantine(
        self,
        fingerprint: str,
        initial_seconds: float = CALL_QUARANTINE_SECONDS,
        max_seconds: float = MAX_QUARANTINE_SECONDS,
    ) -> clock.Deadline | None:
        """Return the end of a request's quarantine, or None if it is not in quarantine."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None or suspect.crashes_over_threshold < 0:
                return None
            released_at = suspect.compute_release_time(initial_seconds, max_seconds)
            return clock.Deadline(released_at) if released_at > self._read_now() else None

    def _is_cleared(self, fingerprint: str) -> bool:
        return self._cleared_until.get(fingerprint, 0.0) > self._read_now()

    def _update_expiry(self, suspect: _Suspect) -> None:
        suspect.crashed_at = self._read_now()
        released_at = suspect.compute_release_time(CALL_QUARANTINE_SECONDS, MAX_QUARANTINE_SECONDS)
        seconds = released_at - suspect.crashed_at
        jitter = 1.0 + self._random.uniform(0.0, _EXPIRY_JITTER)
        suspect.expires_at = suspect.crashed_at + seconds * _EXPIRY_FACTOR * jitter

    def _pop_crashes(self, fingerprint: str) -> list[records.CrashKey]:
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return []
        return [records.CrashKey(fingerprint, run) for run in suspect.crashes]
