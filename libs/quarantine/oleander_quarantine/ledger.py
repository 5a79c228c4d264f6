"""Quarantines requests that crash the backend servers that run them."""

import collections
import collections.abc
import dataclasses
import random
import threading

from oleander_base import clock
from oleander_quarantine import records

CRASH_THRESHOLD = 3
"""Crashes that lead to a quarantine, whatever else the servers ran."""
CRASH_ALONE_THRESHOLD = 2
"""Crashes that lead to a quarantine where the request ran alone, so nothing else is the cause."""
CALL_QUARANTINE_SECONDS = 60.0
"""Of a caller's request, at first. Each further crash doubles it, so that a request which never
succeeds is tried ever less."""
BATCH_QUARANTINE_SECONDS = 4.0
"""Of an item or a scoring, at first. Many run at one server, so most that recur in crashes are
neighbours of the cause, and their batch waits for them."""
MAX_QUARANTINE_SECONDS = 6 * 3600.0
_EXPIRY_FACTOR = 2.0
"""Crashes are forgotten after this many times the quarantine that they led to."""
_EXPIRY_JITTER = 0.5
"""Forgotten up to so much later, so that one process removes the records and not all at once."""
_MAX_SUSPECTS = 4096
"""Past this the request whose crashes were first recorded is forgotten."""
_MAX_CLEARED = 1024
_CLEARED_SECONDS = 60.0
"""A request that a server answered is not the cause of crashes for so long."""


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A request under which servers ended."""

    crashes: dict[str, bool] = dataclasses.field(default_factory=dict)
    """By run of a server; whether the request was alone there."""
    crashed_at: float = 0.0
    expires_at: float = 0.0

    @property
    def crashes_over_threshold(self) -> int:
        """Crashes beyond those that lead to a quarantine; below zero where they don't."""
        alone = sum(self.crashes.values())
        return max(len(self.crashes) - CRASH_THRESHOLD, alone - CRASH_ALONE_THRESHOLD)

    def compute_release_time(self, initial_seconds: float) -> float:
        """Return when a quarantine ends that at first lasts so long."""
        seconds = initial_seconds * 2.0 ** max(0, self.crashes_over_threshold)
        return self.crashed_at + min(MAX_QUARANTINE_SECONDS, seconds)


class CrashLedger:
    """
    Crashes by request, and the quarantine that follows from them; thread-safe.

    A server that ends says nothing of which request was the cause. One that recurs in crashes of
    several servers is the cause, or has shared each server with it. A request that a server
    answered is not the cause: its crashes are dropped, and for a while further ones don't count,
    since a request asked for all the time is in progress whenever servers are lost.

    A quarantine ends with a trial: the request may go to servers again, and the next crash leads
    to a quarantine twice as long.
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
        """Whether no server ended under any request."""
        return not self._suspects

    def record_crash(self, key: records.CrashKey, was_alone: bool) -> bool:
        """Record a crash; return whether it is new."""
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
        """Record that a server answered a request; return the crashes that no longer count."""
        with self._lock:
            self._cleared_until[fingerprint] = self._read_now() + _CLEARED_SECONDS
            self._cleared_until.move_to_end(fingerprint)
            if len(self._cleared_until) > _MAX_CLEARED:
                self._cleared_until.popitem(last=False)
            return self._pop_crashes(fingerprint)

    def remove_crash(self, key: records.CrashKey) -> None:
        """Remove a crash that no longer counts."""
        with self._lock:
            suspect = self._suspects.get(key.fingerprint)
            if suspect is None:
                return
            suspect.crashes.pop(key.incarnation_hash, None)
            if not suspect.crashes:
                del self._suspects[key.fingerprint]

    def pop_expired(self) -> list[records.CrashKey]:
        """Evict requests whose crashes are long past; return the crashes that were removed."""
        with self._lock:
            now = self._read_now()
            expired = [name for name, item in self._suspects.items() if item.expires_at <= now]
            return [key for name in expired for key in self._pop_crashes(name)]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a server ended under a request."""
        return fingerprint in self._suspects

    def is_recurrent(self, fingerprint: str) -> bool:
        """Return whether a request recurs in crashes, in quarantine or after it."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return suspect is not None and suspect.crashes_over_threshold >= 0

    def find_quarantine(
        self, fingerprint: str, initial_seconds: float = CALL_QUARANTINE_SECONDS
    ) -> clock.Deadline | None:
        """Return the end of a request's quarantine, or nothing where there is none."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None or suspect.crashes_over_threshold < 0:
                return None
            released_at = suspect.compute_release_time(initial_seconds)
            return clock.Deadline(released_at) if released_at > self._read_now() else None

    def _is_cleared(self, fingerprint: str) -> bool:
        return self._cleared_until.get(fingerprint, 0.0) > self._read_now()

    def _update_expiry(self, suspect: _Suspect) -> None:
        suspect.crashed_at = self._read_now()
        seconds = suspect.compute_release_time(CALL_QUARANTINE_SECONDS) - suspect.crashed_at
        jitter = 1.0 + self._random.uniform(0.0, _EXPIRY_JITTER)
        suspect.expires_at = suspect.crashed_at + seconds * _EXPIRY_FACTOR * jitter

    def _pop_crashes(self, fingerprint: str) -> list[records.CrashKey]:
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return []
        return [records.CrashKey(fingerprint, run) for run in suspect.crashes]
