"""Says when a refused caller should come back."""

import collections.abc
import random
import threading

from oleander_base import clock

_MIN_RETRY_AFTER_MS = 150
"""Full servers have a free place again in about one request's time."""
_MAX_TARGET_FRACTION = 0.4
"""Of the objective: a caller that comes back once can still be served in its time."""
_WINDOW_SECONDS = 1.0
"""Answers and refusals of the last one or two windows are counted."""
_JITTER_FRACTION = 0.25
"""Up to so much more or less, so that those refused together don't come back together."""


class RetryAdvisor:
    """
    Tells refused callers to wait the longer, the more of them there are for each one served.

    With the same short time for all, those refused in a crowd come back together, are turned away
    again, and nobody is served for it. Thread-safe.
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
        """Count a refusal; return after how many milliseconds its caller should come back."""
        with self._lock:
            self._rotate_window()
            self._refused += 1
            answered = self._answered_before + self._answered
            ratio = (self._refused_before + self._refused) / max(1, answered)
            spread = self._random.uniform(1.0 - _JITTER_FRACTION, 1.0 + _JITTER_FRACTION)
        max_ms = max(_MIN_RETRY_AFTER_MS, target_latency_ms * _MAX_TARGET_FRACTION)
        return int(min(max_ms, _MIN_RETRY_AFTER_MS * max(1.0, ratio)) * spread)

    def _rotate_window(self) -> None:
        """Begin a new second; what the last one came to still counts."""
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
