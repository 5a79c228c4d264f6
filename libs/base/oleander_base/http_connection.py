"""An http.client connection on which every send and receive ends at a deadline."""

import collections.abc
import http.client
import select
import socket
import typing

from oleander_base import clock, deadline_socket, whole_response

MAX_HEAD_BYTES = 64 * 1024
"""The largest head of an answer, with all interim answers and what is read ahead of the body."""
_MAX_SENT_BODY_BYTES = 40 * 1024 * 1024
"""The most bytes of a body as it is sent, with the sizes of its chunks and its trailers."""
_MAX_JOINED_BYTES = 64 * 1024
"""A larger body is sent on its own, because joining it to the head would copy it."""


class Connection(http.client.HTTPConnection):
    """A connection whose sends and receives end at the deadline of the current request."""

    response_class = whole_response.WholeResponse

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._deadline = clock.Deadline(0.0)
        self._unsent: list[bytes] | None = None
        self._is_cancelled: collections.abc.Callable[[], bool] = deadline_socket.never_cancelled
        self._request_count = 0
        self._last_request_id = ""

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

    def record_request(self, request_id: str) -> None:
        """Record what the answer to the next request is known by, or an empty text."""
        self._last_request_id = request_id

    def can_carry(self, request_id: str) -> bool:
        """
        Return whether the answer to a request can be told from that to the last one.

        A server may answer a request twice, the second time when the next answer is due. An empty
        id stands for requests that may be given the answer to an earlier one of them.
        """
        return not request_id or request_id != self._last_request_id

    def set_deadline(
        self,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool] = deadline_socket.never_cancelled,
    ) -> None:
        """Set the deadline of the next request and the function that checks its cancellation."""
        self._deadline = deadline
        self._is_cancelled = is_cancelled
        self._apply_deadline()

    def connect(self) -> None:
        """Open the connection; raise TimeoutError at the deadline."""
        remaining = deadline_socket.read_remaining(self._deadline)
        plain = socket.create_connection((self.host, self.port), remaining)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = deadline_socket.DeadlineSocket(fileno=plain.detach())
        self._request_count = 0
        self._last_request_id = ""
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

    def getresponse(self) -> whole_response.WholeResponse:
        """Receive the head of the answer; its body may then be received from the response."""
        connected = self.sock
        if isinstance(connected, deadline_socket.DeadlineSocket):
            connected.bytes_left = MAX_HEAD_BYTES
        response = typing.cast("whole_response.WholeResponse", super().getresponse())
        if isinstance(connected, deadline_socket.DeadlineSocket):
            connected.bytes_left = _MAX_SENT_BODY_BYTES
        return response

    def send(self, data: typing.Any) -> None:
        """Send data, or collect it while `endheaders` builds a request."""
        if self._unsent is None:
            super().send(data)
        else:
            self._unsent.append(data)

    def _apply_deadline(self) -> None:
        if isinstance(self.sock, deadline_socket.DeadlineSocket):
            self.sock.deadline = self._deadline
            self.sock.is_cancelled = self._is_cancelled
            self.sock.checked_at = clock.read_now()
