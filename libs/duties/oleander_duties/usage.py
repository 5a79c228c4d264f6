"""Counters of started requests by organisation and window of wall-clock time."""

import collections
import collections.abc
import dataclasses
import threading

from oleander_base import clock, log

_MAX_WINDOWS = 64
"""
How many windows may have counts that `take_counts` has not yet returned.

When there are more, the oldest window is dropped.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class CountedRequest:
    """A request that was counted, and the window whose count `undo` lowers."""

    organisation: str
    window: int


class UsageCounter:
    """
    Counts the requests that this process started since the counts were last taken; thread-safe.

    A request is counted when it is sent, since its window may be reported while it still runs. If
    the server refuses it, the count is undone in the same window.
    """

    def __init__(
        self,
        window_ms: int,
        read_wall_ms: collections.abc.Callable[[], int] = clock.read_wall_ms,
    ) -> None:
        self._window_ms = window_ms
        self._read_wall_ms = read_wall_ms
        self._lock = threading.Lock()
        self._counts: dict[int, collections.Counter[str]] = {}

    def add(self, organisation: str) -> CountedRequest:
        """Count a request that is being sent now."""
        counted = CountedRequest(organisation, self._read_wall_ms() // self._window_ms)
        self._adjust(counted, 1)
        return counted

    def undo(self, counted: CountedRequest) -> None:
        """Undo the count of a request that did not start."""
        self._adjust(counted, -1)

    def take_counts(self) -> dict[int, dict[str, int]]:
        """
        Return and reset the counts by window and organisation.

        A count is negative if a request was counted before the last call and undone after it.
        """
        with self._lock:
            counts, self._counts = self._counts, {}
        changed = {
            window: {name: count for name, count in names.items() if count}
            for window, names in counts.items()
        }
        return {window: names for window, names in changed.items() if names}

    def _adjust(self, counted: CountedRequest, difference: int) -> None:
        with self._lock:
            names = self._counts.setdefault(counted.window, collections.Counter())
            names[counted.organisation] += difference
            dropped = None
            if len(self._counts) > _MAX_WINDOWS:
                dropped = self._counts.pop(min(self._counts))
        if dropped is not None:
            log.warn_bounded(
                "usage-dropped", "too many windows are waiting", counts=dropped.total()
            )
