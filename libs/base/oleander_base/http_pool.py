"""A pool of persistent HTTP connections to many servers."""

import bisect
import collections.abc
import dataclasses
import http.client
import threading

import expression

from oleander_base import clock, http_connection, http_exchange, metrics, receive_budget

MAX_BODY_BYTES = http_exchange.MAX_BODY_BYTES
_MAX_RECEIVED_BYTES = 2 * MAX_BODY_BYTES
"""Bytes of all answers being received at once, besides the small ones."""
_MAX_LINE_BYTES = 256 * 1024
"""The longest line of a streamed body; the platform stores no larger record."""
_MAX_ADDRESSES = 4096
_MAX_IDLE_PER_ADDRESS = 36
"""The number of requests that a batch runner may have in flight at one server, so that the
connections of one training step are reused by the next."""
_DEFAULT_IDLE_SECONDS = 20.0
"""The idle timeout of a server that does not send its own in a Keep-Alive header."""
_CONNECT_SECONDS = 0.7
"""The timeout for opening a connection: without packet loss this takes a few round trips, and a
lost SYN packet is sent again only after a second."""
_PROBE_SECONDS = 0.1
"""The timeout of a probe: the host of an ended process refuses one within a round trip."""
_FAILURES = (OSError, http.client.HTTPException, ValueError)
_PEER_CLOSED_ERRORS = (ConnectionError, http.client.IncompleteRead)
"""Errors that mean that the server closed the connection, as opposed to a timeout."""
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of one connection (RFC 9110, 7.6.1), and the length, which is stated anew."""


@dataclasses.dataclass(slots=True, frozen=True)
class PoolRequest:
    """One request to the server at an address (IP:port)."""

    address: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    may_reuse: bool = True
    """Whether an idle connection may be used. If the server has just closed it, the error does not
    show whether the request was executed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """A complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_framed: bool
    """Whether the body had a stated length or was chunked; otherwise the close of the connection,
    without a reset, ended it."""
    was_sent_before: bool = False
    """Whether the request was sent before, on a connection that failed. The server may have
    executed that copy, whatever it answers to this one."""

    def find_header(self, name: str) -> str:
        """Return the value of a header (case-insensitive), or an empty string."""
        return _find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class _Idle:
    connection: http_connection.Connection
    expires_at: float


def _read_expiry(item: _Idle) -> float:
    return item.expires_at


class ConnectionPool:
    """
    Keeps idle connections per address; thread-safe.

    At most 36 connections for each of 4096 addresses are kept; any further one is closed after
    use. The one that expires first is used first: the others then stay usable for longer, so fewer
    expire between two steps than if the last used one were used again.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[_Idle]] = {}
        """The idle connections to each address, in the order of their expiry."""
        self._opened_count = 0
        self._budget = receive_budget.ReceiveBudget(_MAX_RECEIVED_BYTES)

    @property
    def opened_count(self) -> int:
        """The number of connections opened since the pool was created."""
        return self._opened_count

    @property
    def budget(self) -> receive_budget.ReceiveBudget:
        """The bytes that the answers being received may hold."""
        return self._budget

    def open(
        self,
        request: PoolRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result["PooledResponse", http_exchange.ExchangeError]:
        """Send a request and return its response once the head has been received."""
        reused = self._take_idle(request.address) if request.may_reuse else None
        if reused is not None:
            answered = self._send(reused, request, deadline, is_cancelled)
            if answered.is_ok() or not _is_stale_connection(answered.error) or is_cancelled():
                return answered.map_error(
                    lambda error: self.describe_error(request.address, error)
                )
        opened = self._connect(request.address, deadline)
        if opened.is_error():
            return expression.Error(_merge_failures(reused, opened.error))
        return self._send(
            opened.ok, request, deadline, is_cancelled, was_sent_before=reused is not None
        ).map_error(lambda error: self.describe_error(request.address, error))

    def call(
        self,
        request: PoolRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result[Response, http_exchange.ExchangeError]:
        """Send a request and return its complete response."""
        opened = self.open(request, deadline, is_cancelled)
        if opened.is_error():
            return expression.Error(opened.error)
        return opened.ok.read_whole()

    def release(
        self, address: str, connection: http_connection.Connection, seconds: float
    ) -> None:
        """
        Return a connection to the pool, to stay idle for at most `seconds`.

        Its last response must have been read to the end.
        """
        now = clock.read_now()
        unused = []
        with self._lock:
            idle = self._idle.setdefault(address, [])
            while idle and idle[0].expires_at <= now:
                unused.append(idle.pop(0).connection)
            if len(idle) < _MAX_IDLE_PER_ADDRESS and len(self._idle) <= _MAX_ADDRESSES:
                bisect.insort(idle, _Idle(connection, now + seconds), key=_read_expiry)
            else:
                unused.append(connection)
        for item in unused:
            item.close()

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to a server has not expired."""
        now = clock.read_now()
        with self._lock:
            return any(item.expires_at > now for item in self._idle.get(address, ()))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that has ended."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for item in idle:
            item.connection.close()

    def describe_error(self, address: str, error: Exception) -> http_exchange.ExchangeError:
        """Convert an exception to an error value; probe whether a server that closed has ended."""
        described = http_exchange.describe_failure(error)
        if not isinstance(error, _PEER_CLOSED_ERRORS):
            return described
        return dataclasses.replace(described, peer_ended=self._is_connection_refused(address))

    def _is_connection_refused(self, address: str) -> bool:
        """Tell whether an address refuses connections; keep one that it accepts in the pool."""
        opened = self._connect(address, clock.start_deadline(_PROBE_SECONDS))
        if opened.is_error():
            return opened.error.reach is http_exchange.Reach.REFUSED
        self.release(address, opened.ok, _DEFAULT_IDLE_SECONDS)
        return False

    def _take_idle(self, address: str) -> http_connection.Connection | None:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                item = idle.pop(0)
            if item.expires_at > clock.read_now() and item.connection.is_reusable:
                return item.connection
            item.connection.close()

    def _connect(
        self, address: str, deadline: clock.Deadline
    ) -> expression.Result[http_connection.Connection, http_exchange.ExchangeError]:
        host, _, port = address.rpartition(":")
        connection = http_connection.Connection(host, int(port))
        connection.set_deadline(deadline.cap(_CONNECT_SECONDS))
        try:
            connection.connect()
        except ConnectionRefusedError as error:
            reach = http_exchange.Reach.REFUSED
            return expression.Error(http_exchange.ExchangeError(str(error), reach))
        except OSError as error:
            reach = http_exchange.Reach.NOT_CONNECTED
            return expression.Error(http_exchange.ExchangeError(str(error), reach))
        with self._lock:
            self._opened_count += 1
        metrics.count(metrics.CONNECTIONS_OPENED)
        return expression.Ok(connection)

    def _send(
        self,
        connection: http_connection.Connection,
        request: PoolRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
        was_sent_before: bool = False,
    ) -> expression.Result["PooledResponse", Exception]:
        connection.set_deadline(deadline, is_cancelled)
        try:
            connection.putrequest(
                request.method, request.target, skip_host=True, skip_accept_encoding=True
            )
            for name, value in request.headers:
                connection.putheader(name, value)
            if request.body or request.method in {"POST", "PUT", "PATCH"}:
                connection.putheader("Content-Length", str(len(request.body)))
            connection.endheaders(request.body or None)
            response = connection.getresponse()
        except _FAILURES as error:
            connection.close()
            return expression.Error(error)
        return expression.Ok(
            PooledResponse(self, request.address, connection, response, was_sent_before)
        )


class PooledResponse:
    """A response being received; not thread-safe."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        connection: http_connection.Connection,
        response: http.client.HTTPResponse,
        was_sent_before: bool = False,
    ) -> None:
        self._was_sent_before = was_sent_before
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response
        self._headers = tuple(response.getheaders())
        self._idle_seconds = _read_idle_seconds(response)
        self._is_framed = response.chunked or response.length is not None
        self._buffer = b""
        self._line_start = 0
        """Where the next line begins in the buffer."""
        self._account = receive_budget.AnswerAccount(pool.budget, MAX_BODY_BYTES)

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._response.status

    @property
    def was_sent_before(self) -> bool:
        """Whether the request was sent before, on a connection that failed."""
        return self._was_sent_before

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The end-to-end headers; hop-by-hop headers are left out."""
        return tuple(item for item in self._headers if item[0].lower() not in _HOP_BY_HOP_HEADERS)

    def find_header(self, name: str) -> str:
        """Return the value of a header (case-insensitive), or an empty string."""
        return _find_header(self._headers, name)

    def read_line(self) -> expression.Result[bytes, http_exchange.ExchangeError]:
        """Return the next line with its newline, or empty bytes at the end of the body."""
        try:
            end = self._find_line_end()
        except _FAILURES as error:
            self.close()
            return expression.Error(self._describe(error))
        if not end:
            self._finish()
            return expression.Ok(b"")
        line = bytes(memoryview(self._buffer)[self._line_start : end])
        self._line_start = end
        return expression.Ok(line)

    def read_whole(
        self, max_bytes: int = MAX_BODY_BYTES
    ) -> expression.Result[Response, http_exchange.ExchangeError]:
        """Return the complete response; one that is truncated or too large is an error."""
        body = receive_budget.BodyBuffer()
        try:
            while chunk := self._read_chunk():
                body.add(chunk)
                if len(body) > max_bytes:
                    raise ValueError(f"the answer is larger than {max_bytes} bytes")
        except _FAILURES as error:
            self.close()
            return expression.Error(self._describe(error))
        answer = Response(
            self.status, self.headers, body.join(), self._is_framed, self._was_sent_before
        )
        self._finish()
        return expression.Ok(answer)

    def close(self) -> None:
        """Close the connection, which makes the server stop work on an unfinished request."""
        self._account.close()
        self._response.close()
        self._connection.close()

    def _find_line_end(self) -> int:
        """Return the end of the next line in the buffer, or 0 at the end of the body."""
        searched = self._line_start
        while (found := self._buffer.find(b"\n", searched)) < 0:
            chunk = self._read_chunk()
            unread = self._buffer[self._line_start :]
            if not chunk and unread:
                raise ValueError("the last line was cut")
            if len(unread) > _MAX_LINE_BYTES:
                raise ValueError(f"a line is longer than {_MAX_LINE_BYTES} bytes")
            self._buffer, self._line_start, searched = unread + chunk, 0, len(unread)
            if not chunk:
                return 0
        return found + 1

    def _read_chunk(self) -> bytes:
        """
        Return received bytes of the body, or none at its end; raise if it was truncated.

        In http.client only `read1` raises an error for a truncated chunked body: `readline` and
        `peek` swallow it, so that a truncated stream would look complete. A truncated body of
        stated length raises no error at all, so the remaining length is checked.
        """
        chunk = self._response.read1(http_exchange.CHUNK_BYTES)
        if not chunk and self._response.length:
            raise http.client.IncompleteRead(b"", self._response.length)
        self._account.add(len(chunk))
        return chunk

    def _describe(self, error: Exception) -> http_exchange.ExchangeError:
        return self._pool.describe_error(self._address, error)

    def _finish(self) -> None:
        if self._is_framed and self._idle_seconds > 0.0 and self._connection.is_open:
            self._account.close()
            self._response.close()
            self._pool.release(self._address, self._connection, self._idle_seconds)
        else:
            self.close()


def _find_header(headers: tuple[tuple[str, str], ...], name: str) -> str:
    lower = name.lower()
    return next((value for key, value in headers if key.lower() == lower), "")


def _read_idle_seconds(response: http.client.HTTPResponse) -> float:
    """
    Return how many seconds the connection may be idle.

    This is half a second less than the server states, so that it is not reused while the server
    closes it.
    """
    if response.will_close:
        return 0.0
    stated = (response.getheader("Keep-Alive") or "").replace(" ", "")
    for part in stated.split(","):
        name, _, value = part.partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return max(0.0, int(value[:4]) - 0.5)
    return _DEFAULT_IDLE_SECONDS


def _merge_failures(
    reused: http_connection.Connection | None, error: http_exchange.ExchangeError
) -> http_exchange.ExchangeError:
    """
    Return the error of a request whose new connection failed to open.

    If the request was sent on an idle connection before, the server may have received it there.
    """
    if reused is None:
        return error
    has_ended = error.reach is http_exchange.Reach.REFUSED
    reach = http_exchange.Reach.MAY_HAVE_ARRIVED
    return dataclasses.replace(error, reach=reach, peer_ended=has_ended)


def _is_stale_connection(error: Exception) -> bool:
    """Tell whether an error may mean that the server had already closed an idle connection."""
    return isinstance(error, ConnectionError)
