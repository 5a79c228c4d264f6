"""HTTP requests through http.client that end at a deadline and return errors as values."""

import collections.abc
import contextlib
import dataclasses
import enum
import http.client
import socket
import threading
import urllib.parse

import expression

from oleander_base import clock, http_connection, receive_budget, whole_response

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_LINE_BYTES = 1024 * 1024
_MAX_RETRY_AFTER_SECONDS = 3600
CHUNK_BYTES = 64 * 1024
_FAILURES = (OSError, http.client.HTTPException, ValueError)


class Reach(enum.Enum):
    """Whether a failed request may have reached the server."""

    REFUSED = "refused"
    """The peer refused the connection."""
    NOT_CONNECTED = "not-connected"
    """The connection could not be opened; no byte of the request was sent."""
    MAY_HAVE_ARRIVED = "may-have-arrived"


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One request; the path is already percent-encoded and may include a query."""

    method: str
    path: str
    body: bytes | None = None
    headers: collections.abc.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """A complete response."""

    status: int
    retry_after_ms: int
    """Retry-After in milliseconds, at most one hour; 0 if absent or not a number."""
    body: bytes
    failed_sends: tuple[str, ...] = ()
    """How earlier sends of the request failed. The server may have executed those copies, whatever
    it answers to this one."""

    @property
    def was_sent_before(self) -> bool:
        """Whether the request was sent before, on a connection that failed."""
        return bool(self.failed_sends)


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeError:
    """No complete response was received."""

    detail: str
    reach: Reach
    peer_ended: bool = False
    """Whether the server process has ended: it closed the connection, then refused a new one."""
    failed_sends: tuple[str, ...] = ()
    """How each send of the request failed, the first one first; empty if nothing was sent."""


def quote_segment(text: str) -> str:
    """Percent-encode a text as one segment of a path."""
    return urllib.parse.quote(text, safe="")


class ResponseStream:
    """A response being received; only `abort` may be called from another thread."""

    def __init__(
        self,
        connection: http_connection.Connection,
        request: Request,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Send the request and receive the response head; raise the errors of http.client."""
        self._max_body_bytes = max_body_bytes
        connection.request(request.method, request.path, request.body, dict(request.headers))
        self._connection = connection
        self._socket: socket.socket = connection.sock
        self._response = connection.getresponse()
        self._was_aborted = False

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._response.status

    @property
    def retry_after_ms(self) -> int:
        """Retry-After in milliseconds, at most one hour; 0 if absent or not a number."""
        seconds = self._response.getheader("Retry-After") or ""
        if not (seconds.isascii() and seconds.isdigit()):
            return 0
        return min(int(seconds[:6]), _MAX_RETRY_AFTER_SECONDS) * 1000

    def read_line(self) -> expression.Result[bytes, ExchangeError]:
        """Return the next line with its newline, or empty bytes at the end of the body."""
        try:
            line = self._response.readline(MAX_LINE_BYTES)
        except _FAILURES as error:
            return expression.Error(self._describe(error))
        if line and not line.endswith(b"\n"):
            return expression.Error(self._describe(ValueError("a line was cut or is too long")))
        if not line and self._response.length:
            cut = http.client.IncompleteRead(b"", self._response.length)
            return expression.Error(self._describe(cut))
        return expression.Ok(line)

    def read_body(self) -> expression.Result[Response, ExchangeError]:
        """Return the complete response; a body shorter than its stated length is an error."""
        try:
            return expression.Ok(self.receive_response())
        except _FAILURES as error:
            return expression.Error(self._describe(error))

    def receive_response(self) -> Response:
        """
        Return the complete response; raise on failure.

        The connection stays open, unless it has bytes that belong to no answer.
        """
        body = _receive_body(self._response, self._max_body_bytes)
        if self._connection.is_open and self._response.has_surplus():
            self._connection.close()
        self._response.close()
        return Response(self.status, self.retry_after_ms, body)

    def abort(self) -> None:
        """Shut the connection down, which ends a read that blocks in another thread."""
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
        return describe_failure(error)


def _receive_body(response: whole_response.WholeResponse, max_bytes: int) -> bytes:
    body = receive_budget.BodyBuffer()
    while chunk := response.read1(CHUNK_BYTES):
        body.add(chunk)
        if len(body) > max_bytes:
            raise ValueError(f"the answer is larger than {max_bytes} bytes")
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    if not response.is_framed:
        raise ValueError("the answer states no length, so a cut one would pass for whole")
    return body.join()


def describe_failure(error: Exception) -> ExchangeError:
    """Convert an exception of http.client or of a socket to an error value."""
    detail = f"{type(error).__name__}: {str(error)[:200]}"
    return ExchangeError(detail, Reach.MAY_HAVE_ARRIVED, failed_sends=(detail,))


class HttpCaller:
    """
    Sends requests to one server.

    Keeps one idle connection per thread that made an idempotent call; the connection is closed
    when its thread ends.
    """

    def __init__(self, base_url: str, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """
        Accept a URL of the form http://IP:port; raise ValueError for any other.

        An answer with a body of more than `max_body_bytes` is an error.
        """
        self._max_body_bytes = max_body_bytes
        parts = urllib.parse.urlsplit(base_url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"{base_url!r} is no URL like http://IP:port")
        self._host = parts.hostname
        self._port = parts.port or http.client.HTTP_PORT
        self._idle = threading.local()

    def open_stream(
        self, request: Request, deadline: clock.Deadline
    ) -> expression.Result[ResponseStream, ExchangeError]:
        """
        Send a request on a new connection and return its response as it arrives.

        The deadline applies to the whole stream.
        """
        connection = http_connection.Connection(self._host, self._port)
        opened = _open(connection, deadline)
        if opened.is_error():
            return expression.Error(opened.error)
        try:
            return expression.Ok(ResponseStream(connection, request, self._max_body_bytes))
        except _FAILURES as error:
            connection.close()
            return expression.Error(describe_failure(error))

    def call_once(
        self, request: Request, deadline: clock.Deadline
    ) -> expression.Result[Response, ExchangeError]:
        """
        Send a request that is not idempotent, on a new connection.

        A server may close an idle connection at any time. A request sent on it at that moment
        fails without showing whether it arrived, and a repeat could run it twice. A new
        connection either opens or fails before the request is sent.
        """
        opened = self.open_stream(request, deadline)
        if opened.is_error():
            return expression.Error(opened.error)
        with contextlib.closing(opened.ok) as stream:
            return stream.read_body()

    def call_idempotent(
        self, request: Request, deadline: clock.Deadline
    ) -> expression.Result[Response, ExchangeError]:
        """
        Send a request on the idle connection; if that was closed, send it on a new one.

        The response to a second send has `failed_sends`: a refusal in it does not show that the
        first send had no effect.
        """
        connection = self._take_connection()
        if not connection.is_open:
            return self._send_on_new(connection, request, deadline)
        reused = self._exchange(connection, request, deadline)
        if reused.is_ok() or not isinstance(reused.error, ConnectionError):
            return reused.map_error(describe_failure)
        failed_sends = describe_failure(reused.error).failed_sends
        repeated = self._send_on_new(connection, request, deadline)
        return repeated.map(
            lambda answer: dataclasses.replace(answer, failed_sends=failed_sends)
        ).map_error(
            lambda error: dataclasses.replace(
                error,
                reach=Reach.MAY_HAVE_ARRIVED,
                failed_sends=failed_sends + error.failed_sends,
            )
        )

    def _send_on_new(
        self,
        connection: http_connection.Connection,
        request: Request,
        deadline: clock.Deadline,
    ) -> expression.Result[Response, ExchangeError]:
        opened = _open(connection, deadline)
        if opened.is_error():
            return expression.Error(opened.error)
        return self._exchange(connection, request, deadline).map_error(describe_failure)

    def _exchange(
        self,
        connection: http_connection.Connection,
        request: Request,
        deadline: clock.Deadline,
    ) -> expression.Result[Response, Exception]:
        connection.set_deadline(deadline)
        try:
            stream = ResponseStream(connection, request, self._max_body_bytes)
            return expression.Ok(stream.receive_response())
        except _FAILURES as error:
            connection.close()
            return expression.Error(error)

    def _take_connection(self) -> http_connection.Connection:
        connection: http_connection.Connection | None = getattr(self._idle, "connection", None)
        if connection is None:
            connection = http_connection.Connection(self._host, self._port)
            self._idle.connection = connection
        if connection.is_open and not connection.is_reusable:
            connection.close()
        return connection


def _open(
    connection: http_connection.Connection, deadline: clock.Deadline
) -> expression.Result[None, ExchangeError]:
    connection.set_deadline(deadline)
    try:
        connection.connect()
    except ConnectionRefusedError as error:
        return expression.Error(ExchangeError(str(error), Reach.REFUSED))
    except OSError as error:
        return expression.Error(ExchangeError(str(error), Reach.NOT_CONNECTED))
    return expression.Ok(None)
