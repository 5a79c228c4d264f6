"""Remembers writes that this process can't report as having had no effect."""

import collections
import threading


class DoubtfulWrites:
    """
    Keys of writes that succeeded, were not answered or are in progress; thread-safe.

    A write may fail without any effect while an earlier or concurrent write of the same key, for
    an earlier request of the same caller, takes effect. A caller that were told "not run" would
    then be wrong about what it asked for. Beyond the limit the oldest keys are forgotten, except
    those of writes in progress.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._running: collections.Counter[str] = collections.Counter()
        self._doubtful: collections.OrderedDict[str, None] = collections.OrderedDict()

    def begin(self, key: str) -> None:
        """Record that a write begins."""
        with self._lock:
            self._running[key] += 1

    def finish(self, key: str, may_have_effect: bool) -> None:
        """Record that a write ended, and whether it had an effect or may have one."""
        with self._lock:
            self._running[key] -= 1
            if not self._running[key]:
                del self._running[key]
            if not may_have_effect:
                return
            self._doubtful[key] = None
            self._doubtful.move_to_end(key)
            while len(self._doubtful) > self._limit:
                self._doubtful.popitem(last=False)

    def may_have_effect(self, key: str) -> bool:
        """Return whether a write of the key that ended or is in progress may have an effect."""
        with self._lock:
            return key in self._doubtful or key in self._running
