"""A socket on which every send and receive ends at a deadline and at a number of bytes."""

import collections.abc
import contextlib
import socket
import typing

from oleander_base import clock, receive_budget

_CANCELLATION_POLL_SECONDS = 0.1
"""The interval at which a read checks for cancellation."""


def never_cancelled() -> bool:
    """Return False; the default of a request that nobody cancels."""
    return False


class CancelledError(OSError):
    """Raised by a read whose request was cancelled by the caller."""


class DeadlineSocket(socket.socket):
    """
    Applies one deadline to every send and receive.

    A plain socket timeout restarts with each received byte, so a peer that sends a byte now and
    then would block its caller forever. A peer may also send bytes without end: http.client bounds
    neither interim answers, nor trailers, nor the sum of all header lines.
    """

    deadline = clock.Deadline(0.0)
    bytes_left = 0
    """How many more bytes the peer may send."""
    checked_at = 0.0
    """When cancellation was last checked, in monotonic seconds."""
    is_cancelled: collections.abc.Callable[[], bool] = staticmethod(never_cancelled)
    _is_polling = False

    @contextlib.contextmanager
    def polling(self) -> collections.abc.Iterator[None]:
        """Receive only what has arrived: raise BlockingIOError where a receive would wait."""
        self._is_polling = True
        try:
            yield
        finally:
            self._is_polling = False

    def recv_into(self, buffer: typing.Any, nbytes: int = 0, flags: int = 0) -> int:
        """
        Receive; raise TimeoutError at the deadline and CancelledError on cancellation.

        Raise TooManyBytesError if the peer has sent more than it may.
        """
        if self._is_polling:
            self.settimeout(0.0)
            return super().recv_into(buffer, nbytes, flags)
        while True:
            self.settimeout(min(_CANCELLATION_POLL_SECONDS, read_remaining(self.deadline)))
            try:
                count = super().recv_into(buffer, nbytes, flags)
            except TimeoutError:
                self._check_cancelled()
                continue
            self._check_while_receiving()
            self.bytes_left -= count
            if self.bytes_left < 0:
                raise receive_budget.TooManyBytesError("the peer sends more than an answer has")
            return count

    def sendall(self, data: typing.Any, flags: int = 0) -> None:
        """Send all data; raise TimeoutError at the deadline."""
        self.settimeout(read_remaining(self.deadline))
        super().sendall(data, flags)

    def _check_while_receiving(self) -> None:
        """
        Check for cancellation if a peer sends without a pause.

        After a longer time than a receive takes, this process was suspended. What has arrived
        meanwhile is then read first, since it may show that the request is still wanted.
        """
        elapsed = clock.read_now() - self.checked_at
        if elapsed >= 2 * _CANCELLATION_POLL_SECONDS:
            self.checked_at = clock.read_now()
        elif elapsed >= _CANCELLATION_POLL_SECONDS:
            self._check_cancelled()

    def _check_cancelled(self) -> None:
        self.checked_at = clock.read_now()
        if self.is_cancelled():
            raise CancelledError("the request is no longer wanted")


def read_remaining(deadline: clock.Deadline) -> float:
    """Return the seconds until a deadline; raise TimeoutError if it has passed."""
    remaining = deadline.remaining
    if remaining <= 0.0:
        raise TimeoutError("the deadline passed")
    return remaining
