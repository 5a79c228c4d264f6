"""HTTP requests by http.client that end at a deadline and fail as values."""

import collections.abc
import contextlib
import dataclasses
import enum
import http.client
import socket
import threading
import typing
import urllib.parse

import expression

from oleander_base import clock

MOST_BODY_BYTES = 16 * 1024 * 1024
MOST_LINE_BYTES = 1024 * 1024
_MOST_RETRY_AFTER_SECONDS = 3600
_PIECE_BYTES = 64 * 1024
_FAILURES = (OSError, http.client.HTTPException, ValueError)


class Reach(enum.Enum):
    """How far a failed request can have got."""

    REFUSED = "refused"
    """The peer refused the connection."""
    NOT_CONNECTED = "not-connected"
    """The connection could not be opened; no byte of the request was sent."""
    MAY_HAVE_ARRIVED = "may-have-arrived"


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One request; the path is quoted already and may have a query."""

    method: str
    path: str
    body: bytes | None = None
    headers: collections.abc.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer."""

    status: int
    retry_after_ms: int
    """How long the peer asked to wait before another attempt; 0 where it did not say."""
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeError:
    """There is no whole answer."""

    detail: str
    reach: Reach


def quote_segment(text: str) -> str:
    """Return a text as one segment of a path."""
    return urllib.parse.quote(text, safe="")


class _DeadlineSocket(socket.socket):
    """
    Applies one deadline to every send and receive.

    A plain timeout starts anew with each received byte, so a peer that sends one byte in a
    while would hold its caller for ever.
    """

    deadline = clock.Deadline(0.0)

    def recv_into(self, buffer: typing.Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive, waiting until the deadline at most."""
        self.settimeout(_read_remaining(self.deadline))
        return super().recv_into(buffer, nbytes, flags)

    def sendall(self, data: typing.Any, flags: int = 0) -> None:
        """Send everything, waiting until the deadline at most."""
        self.settimeout(_read_remaining(self.deadline))
        super().sendall(data, flags)


class _Connection(http.client.HTTPConnection):
    """A connection whose every step ends at the deadline of the request in progress."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._deadline = clock.Deadline(0.0)

    @property
    def is_open(self) -> bool:
        """Whether an earlier request left the connection open."""
        return self.sock is not None

    def limit(self, deadline: clock.Deadline) -> None:
        """Set the deadline of the next request."""
        self._deadline = deadline
        if isinstance(self.sock, _DeadlineSocket):
            self.sock.deadline = deadline

    def connect(self) -> None:
        """Open the connection."""
        remaining = _read_remaining(self._deadline)
        plain = socket.create_connection((self.host, self.port), remaining)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limited = _DeadlineSocket(fileno=plain.detach())
        limited.deadline = self._deadline
        self.sock = limited


def _read_remaining(deadline: clock.Deadline) -> float:
    remaining = deadline.remaining
    if remaining <= 0.0:
        raise TimeoutError("the deadline passed")
    return remaining


class AnswerStream:
    """An answer being received; only `abort` may be called from another thread."""

    def __init__(self, connection: _Connection, request: Request) -> None:
        """Send the request and receive the head of the answer; raises what http.client does."""
        connection.request(request.method, request.path, request.body, dict(request.headers))
        self._connection = connection
        self._socket: socket.socket = connection.sock
        self._response = connection.getresponse()
        self._was_aborted = False

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def retry_after_ms(self) -> int:
        """How long the peer asked to wait before another attempt; 0 where it did not say."""
        seconds = self._response.getheader("Retry-After") or ""
        if not (seconds.isascii() and seconds.isdigit()):
            return 0
        return min(int(seconds[:6]), _MOST_RETRY_AFTER_SECONDS) * 1000

    def read_line(self) -> expression.Result[bytes, ExchangeError]:
        """Return the next line with its end, or nothing at the end of the answer."""
        try:
            line = self._response.readline(MOST_LINE_BYTES)
        except _FAILURES as error:
            return expression.Error(self._describe(error))
        if line and not line.endswith(b"\n"):
            return expression.Error(self._describe(ValueError("a line was cut or is too long")))
        return expression.Ok(line)

    def read_body(self) -> expression.Result[Answer, ExchangeError]:
        """Return the whole answer; one that ends before its stated length is an error."""
        try:
            return expression.Ok(self.receive_whole())
        except _FAILURES as error:
            return expression.Error(self._describe(error))

    def receive_whole(self) -> Answer:
        """Return the whole answer and leave the connection as it is; raises on failure."""
        body = _receive_body(self._response)
        self._response.close()
        return Answer(self.status, self.retry_after_ms, body)

    def abort(self) -> None:
        """Make a blocked read of another thread end at once."""
        self._was_aborted = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._response.close()
        self._connection.close()

    def _describe(self, error: Exception) -> ExchangeError:
        if self._was_aborted:
            return ExchangeError("the request was aborted", Reach.MAY_HAVE_ARRIVED)
        return _describe_failure(error)


def _receive_body(response: http.client.HTTPResponse) -> bytes:
    body = bytearray()
    while piece := response.read1(_PIECE_BYTES):
        body += piece
        if len(body) > MOST_BODY_BYTES:
            raise ValueError(f"the answer is larger than {MOST_BODY_BYTES} bytes")
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    if response.length is None and not response.chunked:
        raise ValueError("the answer states no length, so a cut one would pass for whole")
    return bytes(body)


def _describe_failure(error: Exception) -> ExchangeError:
    detail = f"{type(error).__name__}: {str(error)[:200]}"
    return ExchangeError(detail, Reach.MAY_HAVE_ARRIVED)


class HttpCaller:
    """
    Sends requests to one server.

    Keeps one idle connection for each thread that made an idempotent call; it is closed when
    the thread ends.
    """

    def __init__(self, base_url: str) -> None:
        """Take a URL like http://IP:port; raises ValueError on any other."""
        parts = urllib.parse.urlsplit(base_url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"{base_url!r} is no URL like http://IP:port")
        self._host = parts.hostname
        self._port = parts.port or http.client.HTTP_PORT
        self._kept = threading.local()

    def open_stream(
        self, request: Request, deadline: clock.Deadline
    ) -> expression.Result[AnswerStream, ExchangeError]:
        """
        Send a request on a connection of its own and return its answer as it arrives.

        The deadline holds for the whole stream.
        """
        connection = _Connection(self._host, self._port)
        opened = _open(connection, deadline)
        if opened.is_error():
            return expression.Error(opened.error)
        try:
            return expression.Ok(AnswerStream(connection, request))
        except _FAILURES as error:
            connection.close()
            return expression.Error(_describe_failure(error))

    def call_once(
        self, request: Request, deadline: clock.Deadline
    ) -> expression.Result[Answer, ExchangeError]:
        """
        Send a request that must not be sent twice, on a connection of its own.

        A server may close a kept connection at any time. A request that meets this fails without
        telling whether it arrived, and sending it again could run it twice; a new connection
        either opens, or fails before the request is sent.
        """
        opened = self.open_stream(request, deadline)
        if opened.is_error():
            return expression.Error(opened.error)
        with contextlib.closing(opened.ok) as stream:
            return stream.read_body()

    def call_idempotent(
        self, request: Request, deadline: clock.Deadline
    ) -> expression.Result[Answer, ExchangeError]:
        """Send a request on a kept connection; where the peer had closed it, on a new one."""
        connection = self._take_connection()
        if connection.is_open:
            kept = _attempt(connection, request, deadline)
            if kept.is_ok() or not isinstance(kept.error, ConnectionError):
                return kept.map_error(_describe_failure)
        opened = _open(connection, deadline)
        if opened.is_error():
            return expression.Error(opened.error)
        return _attempt(connection, request, deadline).map_error(_describe_failure)

    def _take_connection(self) -> _Connection:
        connection: _Connection | None = getattr(self._kept, "connection", None)
        if connection is None:
            connection = _Connection(self._host, self._port)
            self._kept.connection = connection
        return connection


def _open(
    connection: _Connection, deadline: clock.Deadline
) -> expression.Result[None, ExchangeError]:
    connection.limit(deadline)
    try:
        connection.connect()
    except ConnectionRefusedError as error:
        return expression.Error(ExchangeError(str(error), Reach.REFUSED))
    except OSError as error:
        return expression.Error(ExchangeError(str(error), Reach.NOT_CONNECTED))
    return expression.Ok(None)


def _attempt(
    connection: _Connection, request: Request, deadline: clock.Deadline
) -> expression.Result[Answer, Exception]:
    connection.limit(deadline)
    try:
        return expression.Ok(AnswerStream(connection, request).receive_whole())
    except _FAILURES as error:
        connection.close()
        return expression.Error(error)
