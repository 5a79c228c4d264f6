"""One HTTP connection by http.client, every step of which ends at a deadline."""

import collections.abc
import http.client
import select
import socket
import typing

from oleander_base import clock

_CANCELLATION_POLL_SECONDS = 0.1
"""How often a waiting reader looks whether it was cancelled."""


def _never_cancelled() -> bool:
    return False


class CancelledError(OSError):
    """The request is no longer wanted."""


class _DeadlineSocket(socket.socket):
    """
    Applies one deadline to every send and receive.

    A plain timeout starts anew with each received byte, so a peer that sends one byte in a
    while would hold its caller for ever.
    """

    deadline = clock.Deadline(0.0)
    is_cancelled: collections.abc.Callable[[], bool] = staticmethod(_never_cancelled)

    def recv_into(self, buffer: typing.Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive, waiting until the deadline at most; looks now and then for a cancellation."""
        while True:
            self.settimeout(min(_CANCELLATION_POLL_SECONDS, _read_remaining(self.deadline)))
            try:
                return super().recv_into(buffer, nbytes, flags)
            except TimeoutError:
                if self.is_cancelled():
                    raise CancelledError("the request is no longer wanted") from None

    def sendall(self, data: typing.Any, flags: int = 0) -> None:
        """Send everything, waiting until the deadline at most."""
        self.settimeout(_read_remaining(self.deadline))
        super().sendall(data, flags)


class Connection(http.client.HTTPConnection):
    """A connection whose every step ends at the deadline of the request in progress."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._deadline = clock.Deadline(0.0)
        self._is_cancelled: collections.abc.Callable[[], bool] = _never_cancelled

    @property
    def is_open(self) -> bool:
        """Whether an earlier request left the connection open."""
        return self.sock is not None

    @property
    def is_reusable(self) -> bool:
        """
        Whether nothing has arrived on an idle connection.

        Bytes there are the end of the connection or an answer that belongs to no request. Taken
        for the next answer they would reach another caller.
        """
        if self.sock is None:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return not poll.poll(0)

    def set_deadline(
        self,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool] = _never_cancelled,
    ) -> None:
        """Set the deadline of the next request, and what tells that nobody wants its answer."""
        self._deadline = deadline
        self._is_cancelled = is_cancelled
        self._apply_deadline()

    def connect(self) -> None:
        """Open the connection."""
        remaining = _read_remaining(self._deadline)
        plain = socket.create_connection((self.host, self.port), remaining)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = _DeadlineSocket(fileno=plain.detach())
        self._apply_deadline()

    def _apply_deadline(self) -> None:
        if isinstance(self.sock, _DeadlineSocket):
            self.sock.deadline = self._deadline
            self.sock.is_cancelled = self._is_cancelled


def _read_remaining(deadline: clock.Deadline) -> float:
    remaining = deadline.remaining
    if remaining <= 0.0:
        raise TimeoutError("the deadline passed")
    return remaining
