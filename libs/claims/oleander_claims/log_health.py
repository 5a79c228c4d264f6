"""Whether a claim would only wait for a log that is not answering."""

import threading

from oleander_base import clock

_STUCK_SECONDS = 1.0
_RETRY_SECONDS = 0.2


class LogHealth:
    """
    Remembers how the last append went; safe to use from several threads.

    In an outage each claim would wait for an append of its own to time out, which for most
    callers is their whole deadline. After one append hung, claims of every stream are refused at
    once until the log has answered a read, and reads go on all the time. One that failed quickly
    is tried again soon.
    """

    def __init__(self, hung: threading.Event) -> None:
        """Create the health of one stream; that an append hung is shared by all of them."""
        self._stuck_at: clock.Deadline | None = None
        self._failing_until: clock.Deadline | None = None
        self._hung = hung

    @property
    def is_failing(self) -> bool:
        """Whether a claim would only wait; refusing it lets the caller come back sooner."""
        stuck, failing = self._stuck_at, self._failing_until
        if self._hung.is_set() or (stuck is not None and stuck.is_past):
            return True
        return failing is not None and not failing.is_past

    def start_append(self) -> None:
        """Note that an append begins."""
        self._stuck_at = clock.start_deadline(_STUCK_SECONDS)

    def end_append(self) -> None:
        """Note that the append's claims were decided."""
        self._stuck_at = None

    def fail_append(self) -> None:
        """Note that the append failed, and its claims were not read back."""
        self._failing_until = clock.start_deadline(_RETRY_SECONDS)
        if self._stuck_at is not None and self._stuck_at.is_past:
            self._hung.set()
        self._stuck_at = None

    def note_read(self) -> None:
        """Note that the log answered a read."""
        self._hung.clear()
