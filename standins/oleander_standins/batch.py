"""
The batch of the engine stand-in: a bounded number of slots and a queue of generations.

Queued generations get a slot by priority, lowest number first, then in order of arrival.
"""

import collections
import dataclasses
import heapq
import itertools
import threading
import time

_MAX_SNAPSHOTS = 4096
_MAX_WAIT_SECONDS = 600.0


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """How many generations hold a slot and how many are queued for one."""

    running: int
    waiting: int


class Batch:
    """Assigns slots to generations and keeps a history of its load for delayed load reports."""

    def __init__(self) -> None:
        self.peak_running = 0
        self._changed = threading.Condition()
        self._running = 0
        self._waiting: list[tuple[int, int]] = []
        self._arrivals = itertools.count()
        self._snapshots: collections.deque[tuple[float, Load]] = collections.deque(
            [(0.0, Load(0, 0))], _MAX_SNAPSHOTS
        )

    @property
    def running(self) -> int:
        """How many generations hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """How many generations are queued for a slot."""
        return len(self._waiting)

    def enter(self, slots: int, priority: int, cancelled: threading.Event) -> bool:
        """Wait until a slot is assigned; return False if the generation is cancelled first."""
        with self._changed:
            ticket = (priority, next(self._arrivals))
            heapq.heappush(self._waiting, ticket)
            self._record_load()
            got = self._changed.wait_for(
                lambda: (
                    cancelled.is_set() or (self._running < slots and self._waiting[0] == ticket)
                )
            )
            self._waiting.remove(ticket)
            heapq.heapify(self._waiting)
            entered = got and not cancelled.is_set()
            self._running += entered
            self.peak_running = max(self.peak_running, self._running)
            self._record_load()
            return entered

    def leave(self) -> None:
        """Release a slot."""
        with self._changed:
            self._running -= 1
            self._record_load()

    def wake(self) -> None:
        """Wake the queued generations, so that cancelled ones leave the queue."""
        with self._changed:
            self._changed.notify_all()

    def read_load(self, lag_seconds: float) -> Load:
        """Return the load of `lag_seconds` ago, or the oldest known if the history is shorter."""
        newest = time.monotonic() - lag_seconds
        with self._changed:
            known = [load for changed_at, load in self._snapshots if changed_at <= newest]
            return known[-1] if known else self._snapshots[0][1]

    def _record_load(self) -> None:
        load = Load(self._running, len(self._waiting))
        self._snapshots.append((time.monotonic(), load))
        self._changed.notify_all()
