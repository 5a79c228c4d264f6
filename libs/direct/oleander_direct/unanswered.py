"""Unanswered attempts whose server has not responded to any request since."""

import collections
import collections.abc
import dataclasses

from oleander_base import clock

ATTRIBUTION_SECONDS = 8.0
"""
How long the loss of a server is attributed to an unanswered attempt.

A lost server leaves the list, or is replaced at its address, within a few heartbeats.
"""
_MAX_ATTEMPTS = 1024
"""When more attempts are unanswered, the one that ended first is dropped."""


@dataclasses.dataclass(slots=True, frozen=True)
class UnansweredAttempt:
    """An attempt that a server may have started to run but did not answer."""

    request_id: str
    fingerprint: str
    incarnation: str
    was_alone: bool
    """Whether this process had no other request running at the server."""
    expires_at: float
    """Monotonic seconds after which the loss of the server is not attributed to the attempt."""


class UnansweredAttempts:
    """
    Keeps unanswered attempts until their server responds, their server is lost, or they expire.

    Not thread-safe.
    """

    def __init__(self, read_now: collections.abc.Callable[[], float] = clock.read_now) -> None:
        self._read_now = read_now
        self._attempts: collections.deque[UnansweredAttempt] = collections.deque(
            maxlen=_MAX_ATTEMPTS
        )

    def add(self, request_id: str, fingerprint: str, incarnation: str, was_alone: bool) -> None:
        """Add an attempt that its server did not answer."""
        expires_at = self._read_now() + ATTRIBUTION_SECONDS
        self._attempts.append(
            UnansweredAttempt(request_id, fingerprint, incarnation, was_alone, expires_at)
        )

    def pop_incarnation(self, incarnation: str) -> list[UnansweredAttempt]:
        """Remove the attempts at a server incarnation and return those that have not expired."""
        if not self._attempts:
            return []
        now = self._read_now()
        current = [item for item in self._attempts if item.expires_at > now]
        self._attempts.clear()
        self._attempts.extend(item for item in current if item.incarnation != incarnation)
        return [item for item in current if item.incarnation == incarnation]
