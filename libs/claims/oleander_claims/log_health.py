"""Detection of log outages, during which claims are refused at once."""

import threading

from oleander_base import clock

_HANG_SECONDS = 1.0
"""How long an append may take before the log counts as hanging."""
_RETRY_SECONDS = 0.2
"""How long claims are refused after an append that failed quickly."""


class LogHealth:
    """
    Tracks the outcome of the last append of one stream; thread-safe.

    In an outage each claim would wait for its own append to time out, which uses up most callers'
    time until the deadline. After one append has hung, claims of every stream are refused at once
    until the log answers a read; reads are tried all the time. After an append that failed
    quickly, claims are accepted again soon.
    """

    def __init__(self, append_hung: threading.Event) -> None:
        """Create the tracker of one stream; `append_hung` must be shared by all streams."""
        self._append_hangs_at: clock.Deadline | None = None
        self._failing_until: clock.Deadline | None = None
        self._append_hung = append_hung

    @property
    def is_failing(self) -> bool:
        """Whether to refuse claims, so that callers can retry sooner than after a timeout."""
        hangs_at, failing_until = self._append_hangs_at, self._failing_until
        if self._append_hung.is_set() or (hangs_at is not None and hangs_at.is_past):
            return True
        return failing_until is not None and not failing_until.is_past

    def record_append_start(self) -> None:
        """Record that an append starts."""
        self._append_hangs_at = clock.start_deadline(_HANG_SECONDS)

    def record_append_end(self) -> None:
        """Record that the claims of the append were decided."""
        self._append_hangs_at = None

    def record_append_failure(self) -> None:
        """Record that the append failed and its claims were not read back."""
        self._failing_until = clock.start_deadline(_RETRY_SECONDS)
        if self._append_hangs_at is not None and self._append_hangs_at.is_past:
            self._append_hung.set()
        self._append_hangs_at = None

    def record_read(self) -> None:
        """Record that the log answered a read."""
        self._append_hung.clear()
