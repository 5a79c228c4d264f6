"""A limit on the request slots one organisation may use while few slots are free."""

import collections
import collections.abc
import threading

from oleander_base import clock

_RESERVED_DIVISOR = 4
"""
One slot in this many is reserved.

Once no more than these are free, they go to organisations that use fewer slots than the largest
user.
"""
_ACTIVE_SECONDS = 5.0
"""How long after its last call an organisation still counts when fair shares are computed."""


class FairShareLimiter:
    """
    Keeps a burst of one organisation from using all request slots; thread-safe.

    Each request holds a slot while it runs. When one organisation sends many times its usual load,
    requests of the others would wait for a slot until their deadlines pass. Therefore, once few
    slots are free, requests of the organisation that uses the most are refused at once, and the
    slots that it releases go to the others. An organisation that is the only caller may use all
    slots.
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
        """Acquire a slot for a request; return whether the request may run."""
        with self._lock:
            self._record_call(organisation)
            if self._is_nearly_full and self._exceeds_fair_share(organisation):
                return False
            self._in_use[organisation] += 1
            return True

    def release(self, organisation: str) -> None:
        """Release a slot that `try_acquire` granted."""
        with self._lock:
            self._in_use[organisation] -= 1
            if self._in_use[organisation] <= 0:
                del self._in_use[organisation]

    @property
    def _is_nearly_full(self) -> bool:
        free = self._slots - self._in_use.total()
        return free * _RESERVED_DIVISOR < self._slots

    def _exceeds_fair_share(self, organisation: str) -> bool:
        """Return whether an organisation exceeds an equal share and no other uses more slots."""
        if len(self._called_at) == 1:
            return False
        own = self._in_use[organisation]
        fair_share = self._slots / len(self._called_at)
        return own > fair_share and own >= max(self._in_use.values())

    def _record_call(self, organisation: str) -> None:
        """
        Record the time of a call and drop organisations that have not called recently.

        The dictionary is ordered by last call, so the oldest entries come first.
        """
        now = self._read_now()
        self._called_at.pop(organisation, None)
        self._called_at[organisation] = now
        while now - next(iter(self._called_at.values())) > _ACTIVE_SECONDS:
            del self._called_at[next(iter(self._called_at))]
