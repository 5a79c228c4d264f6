"""Whether a claim would only wait for a log that is not answering."""

import threading

from oleander_base import clock

_HANG_SECONDS = 1.0
_RETRY_SECONDS = 0.2


class LogHealth:
    """
    Remembers how the last append went; safe to use from several threads.

    In an outage each claim would wait for an append of its own to time out, which for most
    callers is their whole deadline. After one append hung, claims of every stream are refused at
    once until the log has answered a read, and reads go on all the time. One that failed quickly
    is tried again soon.
    """

    def __init__(self, append_hung: threading.Event) -> None:
        """Create the health of one stream; that an append hung is shared by all of them."""
        self._append_hangs_at: clock.Deadline | None = None
        self._failing_until: clock.Deadline | None = None
        self._append_hung = append_hung

    @property
    def is_failing(self) -> bool:
        """Whether a claim would only wait; refusing it lets the caller come back sooner."""
        hangs_at, failing_until = self._append_hangs_at, self._failing_until
        if self._append_hung.is_set() or (hangs_at is not None and hangs_at.is_past):
            return True
        return failing_until is not None and not failing_until.is_past

    def record_append_start(self) -> None:
        """Note that an append begins."""
        self._append_hangs_at = clock.start_deadline(_HANG_SECONDS)

    def record_append_end(self) -> None:
        """Note that the append's claims were decided."""
        self._append_hangs_at = None

    def record_append_failure(self) -> None:
        """Note that the append failed, and its claims were not read back."""
        self._failing_until = clock.start_deadline(_RETRY_SECONDS)
        if self._append_hangs_at is not None and self._append_hangs_at.is_past:
            self._append_hung.set()
        self._append_hangs_at = None

    def record_read(self) -> None:
        """Note that the log answered a read."""
        self._append_hung.clear()
