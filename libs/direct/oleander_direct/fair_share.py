"""How many places of a process one organisation may take while places are short."""

import collections
import collections.abc
import threading

from oleander_base import clock

_RESERVED_DIVISOR = 4
"""One place in so many is kept for organisations that hold fewer than the one with the most."""
_ACTIVE_SECONDS = 5.0
"""An organisation that called within this time counts among those that share the places."""


class FairShareLimiter:
    """
    Keeps one organisation's burst from taking all places; thread-safe.

    Answers the load of an organisation that asks for many times its usual: each request holds a
    place for as long as it runs, and the others would wait for one until their time is over. Once
    few places are free, the organisation that holds the most is turned away at once, so that those
    it gives back go to the others. One that calls alone may take them all.
    """

    def __init__(
        self, slots: int, read_now: collections.abc.Callable[[], float] = clock.read_now
    ) -> None:
        self._slots = slots
        self._read_now = read_now
        self._lock = threading.Lock()
        self._in_use: collections.Counter[str] = collections.Counter()
        self._called_at: dict[str, float] = {}

    def try_acquire(self, organisation: str) -> bool:
        """Take a place for a request; return whether it may run."""
        with self._lock:
            self._record_call(organisation)
            if self._is_nearly_full and self._exceeds_fair_share(organisation):
                return False
            self._in_use[organisation] += 1
            return True

    def release(self, organisation: str) -> None:
        """Give a place back."""
        with self._lock:
            self._in_use[organisation] -= 1
            if self._in_use[organisation] <= 0:
                del self._in_use[organisation]

    @property
    def _is_nearly_full(self) -> bool:
        free = self._slots - self._in_use.total()
        return free * _RESERVED_DIVISOR < self._slots

    def _exceeds_fair_share(self, organisation: str) -> bool:
        """Tell whether it holds more than its even part, and nobody holds more."""
        if len(self._called_at) == 1:
            return False
        own = self._in_use[organisation]
        fair_share = self._slots / len(self._called_at)
        return own > fair_share and own >= max(self._in_use.values())

    def _record_call(self, organisation: str) -> None:
        """Remember who called; those silent for long drop out from the front of the order."""
        now = self._read_now()
        self._called_at.pop(organisation, None)
        self._called_at[organisation] = now
        while now - next(iter(self._called_at.values())) > _ACTIVE_SECONDS:
            del self._called_at[next(iter(self._called_at))]
