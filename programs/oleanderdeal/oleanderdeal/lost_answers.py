"""Tracks answers that a sidecar could not send because the link to the entry was lost."""

import collections
import threading

_MAX_KEYS = 1000
"""Above this number of keys the oldest is evicted."""
_REDIAL_SECONDS = 5.0
"""An entry that lost its link reconnects and asks for the answer again within this time."""


class LostAnswers:
    """
    Keys whose answers could not be sent and may be asked for again; thread-safe.

    Only the shutdown of a sidecar reads this, and waits while an entry may still ask: without the
    wait, callers would get "unknown" although the sidecar has their answers.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lost_at: collections.OrderedDict[tuple[str, str], float] = collections.OrderedDict()

    def record(self, customer: str, key: str, now: float) -> None:
        """Record a key whose answer could not be sent."""
        with self._lock:
            self._lost_at[customer, key] = now
            self._lost_at.move_to_end((customer, key))
            while len(self._lost_at) > _MAX_KEYS:
                self._lost_at.popitem(last=False)

    def forget(self, customer: str, key: str) -> None:
        """Remove a key that an entry has asked about again."""
        with self._lock:
            self._lost_at.pop((customer, key), None)

    def is_any_awaited(self, now: float) -> bool:
        """Return whether an entry may still ask for an answer."""
        with self._lock:
            newest_lost_at = next(reversed(self._lost_at.values()), None)
        return newest_lost_at is not None and now - newest_lost_at < _REDIAL_SECONDS
