"""A client of the log for one command, which retries reads until the command's deadline."""

import collections.abc
import typing

import expression

from oleander_base import clock
from oleander_platform import logservice

_MIN_PAUSE_MS = 100


class RetryingLog:
    """Retries failed reads until a deadline; makes every call at least once."""

    def __init__(
        self,
        log: logservice.LogService,
        call_timeout_ms: int,
        deadline: clock.Deadline,
        pause: collections.abc.Callable[[float], None],
    ) -> None:
        self._log = log
        self._call_timeout_ms = call_timeout_ms
        self._deadline = deadline
        self._pause = pause

    @property
    def is_expired(self) -> bool:
        """Whether the deadline has passed."""
        return self._deadline.is_past

    def read(
        self, stream: str, offset: int
    ) -> expression.Result[logservice.Page, logservice.LogError]:
        """Read a stream from an offset without waiting for new records."""
        while True:
            result = self._log.read(stream, offset, 0, self._start_call_deadline())
            match result:
                case expression.Result(tag="error", error=error) if not self.is_expired:
                    self.wait(error.retry_after_ms)
                case _:
                    return result

    def append_once(
        self, stream: str, value: dict[str, typing.Any]
    ) -> expression.Result[int, logservice.LogError]:
        """Append one record without retries, since a failed append may have taken effect."""
        return self._log.append(stream, [value], self._start_call_deadline())

    def wait(self, milliseconds: int = 0) -> None:
        """Wait before a retry: at least the minimum pause, at most until the deadline."""
        seconds = max(milliseconds, _MIN_PAUSE_MS) / 1000
        self._pause(min(seconds, self._deadline.remaining))

    def _start_call_deadline(self) -> clock.Deadline:
        return clock.start_deadline_ms(self._call_timeout_ms)
