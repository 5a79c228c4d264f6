"""The retry-after times given to refused callers."""

import collections.abc
import random
import threading

from oleander_base import clock

_MIN_RETRY_AFTER_MS = 150
"""
The shortest retry-after time.

It is about the duration of one request, after which a full server has a free slot again.
"""
_MAX_TARGET_FRACTION = 0.4
"""
The longest retry-after time, as a fraction of the route's target latency.

A caller that retries once after this time can still be answered within the target.
"""
_WINDOW_SECONDS = 1.0
"""The length of a window; counts cover the current window and the one before it."""
_JITTER_FRACTION = 0.25
"""Random fraction added or subtracted, so that callers refused together don't retry together."""


class RetryAdvisor:
    """
    Computes retry-after times that grow with the ratio of refused to answered requests.

    With one short time for all, callers that were refused together would retry together and be
    refused again, which adds load and serves none of them. Thread-safe.
    """

    def __init__(
        self, seed: int, read_now: collections.abc.Callable[[], float] = clock.read_now
    ) -> None:
        self._random = random.Random(seed)
        self._read_now = read_now
        self._lock = threading.Lock()
        self._window_started_at = read_now()
        self._answered = 0
        self._refused = 0
        self._answered_before = 0
        self._refused_before = 0

    def record_answered(self) -> None:
        """Count a request that a server answered."""
        with self._lock:
            self._rotate_window()
            self._answered += 1

    def advise_retry_after_ms(self, target_latency_ms: int) -> int:
        """Count a refusal and return its retry-after time in milliseconds."""
        with self._lock:
            self._rotate_window()
            self._refused += 1
            answered = self._answered_before + self._answered
            ratio = (self._refused_before + self._refused) / max(1, answered)
            spread = self._random.uniform(1.0 - _JITTER_FRACTION, 1.0 + _JITTER_FRACTION)
        max_ms = max(_MIN_RETRY_AFTER_MS, target_latency_ms * _MAX_TARGET_FRACTION)
        return int(min(max_ms, _MIN_RETRY_AFTER_MS * max(1.0, ratio)) * spread)

    def _rotate_window(self) -> None:
        """Start a new window if the current one has ended, keeping the counts of the last one."""
        now = self._read_now()
        passed = now - self._window_started_at
        if passed < _WINDOW_SECONDS:
            return
        is_recent = passed < 2 * _WINDOW_SECONDS
        self._answered_before = self._answered if is_recent else 0
        self._refused_before = self._refused if is_recent else 0
        self._window_started_at = now
        self._answered = 0
        self._refused = 0
