"""Attempts whose servers have shown no sign of life since."""

import collections
import collections.abc
import dataclasses

from oleander_base import clock

ATTRIBUTION_SECONDS = 8.0
"""A lost server leaves the list within a few heartbeats, or is replaced at its address."""
_MAX_ATTEMPTS = 1024
"""Past this the attempt that ended first is no longer watched."""


@dataclasses.dataclass(slots=True, frozen=True)
class UnansweredAttempt:
    """An attempt that a server may have begun and did not answer."""

    request_id: str
    fingerprint: str
    incarnation: str
    was_alone: bool
    expires_at: float
    """After this the loss of its server is not attributed to it."""


class UnansweredAttempts:
    """
    Keeps attempts until their server shows a sign of life, is lost, or they expire.

    Not safe to use from several threads.
    """

    def __init__(self, read_now: collections.abc.Callable[[], float] = clock.read_now) -> None:
        self._read_now = read_now
        self._attempts: collections.deque[UnansweredAttempt] = collections.deque(
            maxlen=_MAX_ATTEMPTS
        )

    def add(self, request_id: str, fingerprint: str, incarnation: str, was_alone: bool) -> None:
        """Keep an attempt that its server did not answer."""
        expires_at = self._read_now() + ATTRIBUTION_SECONDS
        self._attempts.append(
            UnansweredAttempt(request_id, fingerprint, incarnation, was_alone, expires_at)
        )

    def pop_incarnation(self, incarnation: str) -> list[UnansweredAttempt]:
        """Remove the attempts at a server; return those that have not expired."""
        if not self._attempts:
            return []
        now = self._read_now()
        current = [item for item in self._attempts if item.expires_at > now]
        self._attempts.clear()
        self._attempts.extend(item for item in current if item.incarnation != incarnation)
        return [item for item in current if item.incarnation == incarnation]
