"""HTTP requests to many servers on kept connections, with the whole answer or a failure."""

import collections.abc
import dataclasses
import http.client
import threading

import expression

from oleander_base import clock, http_connection, http_exchange

MAX_BODY_BYTES = http_exchange.MAX_BODY_BYTES
_MAX_ADDRESSES = 4096
_MAX_IDLE_PER_ADDRESS = 36
"""Idle connections kept for each address: what a runner may have in flight at one server, so that
the connections of a step are there for the next."""
_DEFAULT_IDLE_SECONDS = 20.0
"""Used where a server does not state its own idle timeout."""
_CONNECT_SECONDS = 0.7
"""A connection opens within some round trips or, if its opening packet was dropped, a second."""
_PROBE_SECONDS = 0.1
"""A process that has ended refuses a connection within a round trip."""
_FAILURES = (OSError, http.client.HTTPException, ValueError)
_PEER_CLOSED_ERRORS = (ConnectionError, http.client.IncompleteRead)
"""Failures by which the peer, not a timeout, ended an exchange."""
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)


@dataclasses.dataclass(slots=True, frozen=True)
class PoolRequest:
    """One request to the server at an address (IP:port)."""

    address: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    may_reuse: bool = True
    """Whether a kept connection will do; one that the server has just closed tells nothing of
    what became of the request."""


@dataclasses.dataclass(slots=True, frozen=True)
class WholeAnswer:
    """A whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_framed: bool
    """Whether its length was stated; else it ended with the connection, without a reset."""

    def find_header(self, name: str) -> str:
        """Return a header, or an empty text."""
        return _find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class _Idle:
    connection: http_connection.Connection
    expires_at: float


class ConnectionPool:
    """
    Keeps idle connections for each address; safe to use from several threads.

    At most 36 for each of 4096 addresses are kept; past that a connection is closed after use.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[_Idle]] = {}
        self._opened_count = 0

    @property
    def opened_count(self) -> int:
        """How many connections were opened."""
        return self._opened_count

    def open(
        self,
        request: PoolRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result["PooledAnswer", http_exchange.ExchangeError]:
        """Send a request and return its answer once the head is there."""
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
        return self._send(opened.ok, request, deadline, is_cancelled).map_error(
            lambda error: self.describe_error(request.address, error)
        )

    def call(
        self,
        request: PoolRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result[WholeAnswer, http_exchange.ExchangeError]:
        """Send a request and return its whole answer."""
        opened = self.open(request, deadline, is_cancelled)
        if opened.is_error():
            return expression.Error(opened.error)
        return opened.ok.read_whole()

    def release(
        self, address: str, connection: http_connection.Connection, seconds: float
    ) -> None:
        """Take back a connection whose answer was read to its end."""
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < _MAX_IDLE_PER_ADDRESS and len(self._idle) <= _MAX_ADDRESSES:
                idle.append(_Idle(connection, clock.read_now() + seconds))
                return
        connection.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that is gone."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for item in idle:
            item.connection.close()

    def describe_error(self, address: str, error: Exception) -> http_exchange.ExchangeError:
        """Return a failure as a value; where the peer broke off, with whether it has ended."""
        described = http_exchange.describe_failure(error)
        if not isinstance(error, _PEER_CLOSED_ERRORS):
            return described
        return dataclasses.replace(described, peer_ended=self._is_connection_refused(address))

    def _is_connection_refused(self, address: str) -> bool:
        """Tell whether nothing listens at an address; a connection that opens is kept."""
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
                item = idle.pop()
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
        return expression.Ok(connection)

    def _send(
        self,
        connection: http_connection.Connection,
        request: PoolRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> expression.Result["PooledAnswer", Exception]:
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
        return expression.Ok(PooledAnswer(self, request.address, connection, response))


class PooledAnswer:
    """An answer being received; one thread reads it."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        connection: http_connection.Connection,
        response: http.client.HTTPResponse,
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response
        self._headers = tuple(response.getheaders())
        self._idle_seconds = _read_idle_seconds(response)
        self._is_framed = response.chunked or response.length is not None
        self._buffer = b""

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers that concern the request rather than the connection."""
        return tuple(item for item in self._headers if item[0].lower() not in _HOP_BY_HOP_HEADERS)

    def find_header(self, name: str) -> str:
        """Return a header, or an empty text."""
        return _find_header(self._headers, name)

    def read_line(self) -> expression.Result[bytes, http_exchange.ExchangeError]:
        """Return the next line with its end, or nothing at the end of a whole answer."""
        try:
            while b"\n" not in self._buffer:
                chunk = self._read_chunk()
                if not chunk:
                    if self._buffer:
                        raise ValueError("the last line was cut")
                    self._finish()
                    return expression.Ok(b"")
                self._buffer += chunk
        except _FAILURES as error:
            self.close()
            return expression.Error(self._describe(error))
        line, end, self._buffer = self._buffer.partition(b"\n")
        return expression.Ok(line + end)

    def read_whole(self) -> expression.Result[WholeAnswer, http_exchange.ExchangeError]:
        """Return the whole answer; one that is cut is an error."""
        body = bytearray()
        try:
            while chunk := self._read_chunk():
                body += chunk
                if len(body) > MAX_BODY_BYTES:
                    raise ValueError(f"the answer is larger than {MAX_BODY_BYTES} bytes")
        except _FAILURES as error:
            self.close()
            return expression.Error(self._describe(error))
        answer = WholeAnswer(self.status, self.headers, bytes(body), self._is_framed)
        self._finish()
        return expression.Ok(answer)

    def close(self) -> None:
        """Close the connection; a server that still works on the request stops."""
        self._response.close()
        self._connection.close()

    def _read_chunk(self) -> bytes:
        """
        Return what has arrived of the body, or nothing at its end; raises where it was cut.

        Of http.client only `read1` tells a cut chunked body from a whole one: `readline` and
        `peek` swallow the error, and a stream that was cut would pass for whole. A body of a
        stated length ends without an error, so what is left of it is looked at.
        """
        chunk = self._response.read1(http_exchange.CHUNK_BYTES)
        if not chunk and self._response.length:
            raise http.client.IncompleteRead(b"", self._response.length)
        return chunk

    def _describe(self, error: Exception) -> http_exchange.ExchangeError:
        return self._pool.describe_error(self._address, error)

    def _finish(self) -> None:
        if self._is_framed and self._idle_seconds > 0.0 and self._connection.is_open:
            self._response.close()
            self._pool.release(self._address, self._connection, self._idle_seconds)
        else:
            self.close()


def _find_header(headers: tuple[tuple[str, str], ...], name: str) -> str:
    lower = name.lower()
    return next((value for key, value in headers if key.lower() == lower), "")


def _read_idle_seconds(response: http.client.HTTPResponse) -> float:
    """Return how long the connection may idle: half a second less than the server says."""
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
    """Return why no second connection opened, and that the first may have carried the request."""
    if reused is None:
        return error
    has_ended = error.reach is http_exchange.Reach.REFUSED
    reach = http_exchange.Reach.MAY_HAVE_ARRIVED
    return dataclasses.replace(error, reach=reach, peer_ended=has_ended)


def _is_stale_connection(error: Exception) -> bool:
    """Tell whether a kept connection had been closed before the request could be read."""
    return isinstance(error, ConnectionError)
