"""An http.client connection on which every send and receive ends at a deadline."""

import collections.abc
import http.client
import select
import socket
import typing

from oleander_base import clock, receive_budget

_CANCELLATION_POLL_SECONDS = 0.1
"""The interval at which a read checks for cancellation."""
MAX_HEAD_BYTES = 64 * 1024
"""The largest head of an answer, with all interim answers and what is read ahead of the body."""
_MAX_SENT_BODY_BYTES = 40 * 1024 * 1024
"""The most bytes of a body as it is sent, with the sizes of its chunks and its trailers."""
_MAX_JOINED_BYTES = 64 * 1024
"""A larger body is sent on its own, because joining it to the head would copy it."""


def _never_cancelled() -> bool:
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
    is_cancelled: collections.abc.Callable[[], bool] = staticmethod(_never_cancelled)

    def recv_into(self, buffer: typing.Any, nbytes: int = 0, flags: int = 0) -> int:
        """
        Receive; raise TimeoutError at the deadline and CancelledError on cancellation.

        Raise TooManyBytesError if the peer has sent more than it may.
        """
        while True:
            self.settimeout(min(_CANCELLATION_POLL_SECONDS, _read_remaining(self.deadline)))
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
        self.settimeout(_read_remaining(self.deadline))
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


class Connection(http.client.HTTPConnection):
    """A connection whose sends and receives end at the deadline of the current request."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._deadline = clock.Deadline(0.0)
        self._unsent: list[bytes] | None = None
        self._is_cancelled: collections.abc.Callable[[], bool] = _never_cancelled
        self._request_count = 0

    @property
    def request_count(self) -> int:
        """The number of requests sent since the connection was opened."""
        return self._request_count

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, for instance kept open after an earlier request."""
        return self.sock is not None

    @property
    def is_reusable(self) -> bool:
        """
        Whether the connection is open and has no unread input.

        Unread input on an idle connection means that the server has closed it or has sent an
        unsolicited response, which would be returned to the caller of the next request.
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
        """Set the deadline of the next request and the function that checks its cancellation."""
        self._deadline = deadline
        self._is_cancelled = is_cancelled
        self._apply_deadline()

    def connect(self) -> None:
        """Open the connection; raise TimeoutError at the deadline."""
        remaining = _read_remaining(self._deadline)
        plain = socket.create_connection((self.host, self.port), remaining)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = DeadlineSocket(fileno=plain.detach())
        self._request_count = 0
        self._apply_deadline()

    def endheaders(self, message_body: typing.Any = None, *, encode_chunked: bool = False) -> None:
        """
        Send the head and a body of at most 64 KiB in one write.

        A process that is killed or suspended between two writes leaves half a request at the
        server. After a suspension the rest of an order would follow, although the right to give
        it was checked before the first write and may have passed to another process.
        """
        self._request_count += 1
        self._unsent = []
        try:
            super().endheaders(message_body, encode_chunked=encode_chunked)
            pieces = self._unsent
        finally:
            self._unsent = None
        if sum(len(piece) for piece in pieces) <= _MAX_JOINED_BYTES:
            pieces = [b"".join(pieces)]
        for piece in pieces:
            self.send(piece)

    def getresponse(self) -> http.client.HTTPResponse:
        """Receive the head of the answer; its body may then be received from the response."""
        connected = self.sock
        if isinstance(connected, DeadlineSocket):
            connected.bytes_left = MAX_HEAD_BYTES
        response = super().getresponse()
        if isinstance(connected, DeadlineSocket):
            connected.bytes_left = _MAX_SENT_BODY_BYTES
        return response

    def send(self, data: typing.Any) -> None:
        """Send data, or collect it while `endheaders` builds a request."""
        if self._unsent is None:
            super().send(data)
        else:
            self._unsent.append(data)

    def _apply_deadline(self) -> None:
        if isinstance(self.sock, DeadlineSocket):
            self.sock.deadline = self._deadline
            self.sock.is_cancelled = self._is_cancelled
            self.sock.checked_at = clock.read_now()


def _read_remaining(deadline: clock.Deadline) -> float:
    remaining = deadline.remaining
    if remaining <= 0.0:
        raise TimeoutError("the deadline passed")
    return remaining
