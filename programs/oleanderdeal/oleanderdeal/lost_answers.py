"""Answers of a sidecar that could not be sent, as the link that asked for them was broken."""

import collections
import threading

_MAX_KEYS = 1000
_REDIAL_SECONDS = 5.0
"""An entry that lost its link has dialled again and asked within so long."""


class LostAnswers:
    """
    The keys whose askers may still come back; safe to use from several threads.

    At the bound the oldest is forgotten. Only a stop looks here: a sidecar that ended at once
    would leave their callers with "unknown", although it knows better.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lost_at: collections.OrderedDict[tuple[str, str], float] = collections.OrderedDict()

    def record(self, customer: str, key: str, now: float) -> None:
        """Remember a key whose answer was not sent."""
        with self._lock:
            self._lost_at[customer, key] = now
            self._lost_at.move_to_end((customer, key))
            while len(self._lost_at) > _MAX_KEYS:
                self._lost_at.popitem(last=False)

    def forget(self, customer: str, key: str) -> None:
        """Forget a key that was asked about again."""
        with self._lock:
            self._lost_at.pop((customer, key), None)

    def is_any_awaited(self, now: float) -> bool:
        """Tell whether somebody may still come for an answer."""
        with self._lock:
            newest = next(reversed(self._lost_at.values()), None)
        return newest is not None and now - newest < _REDIAL_SECONDS
