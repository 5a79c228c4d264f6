"""A pool of persistent HTTP connections to many servers."""

import bisect
import collections.abc
import dataclasses
import http.client
import threading

import expression

from oleander_base import (
    clock,
    http_connection,
    http_exchange,
    metrics,
    network_address,
    pooled_response,
    receive_budget,
)

_MAX_RECEIVED_BYTES = 2 * http_exchange.MAX_BODY_BYTES
"""Bytes of all answers being received at once, besides the small ones."""
_MAX_ADDRESSES = 4096
_MAX_IDLE_PER_ADDRESS = 36
"""The number of requests that a batch runner may have in flight at one server, so that the
connections of one training step are reused by the next."""
_CONNECT_SECONDS = 0.7
"""The timeout for opening a connection: without packet loss this takes a few round trips, and a
lost SYN packet is sent again only after a second."""
_PROBE_SECONDS = 0.1
"""The timeout of a probe: the host of an ended process refuses one within a round trip."""
_PEER_CLOSED_ERRORS = (ConnectionError, http.client.IncompleteRead)
"""Errors that mean that the server closed the connection, as opposed to a timeout."""


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
    request_id: str = ""
    """What the answer is known by: its id, or its kind if it bears none. No idle connection is
    used whose last request has the same. Empty for requests that may be given
    the answer to an earlier one of them."""


@dataclasses.dataclass(slots=True)
class _Idle:
    connection: http_connection.Connection
    expires_at: float


def _read_expiry(item: _Idle) -> float:
    return item.expires_at


class ConnectionPool(pooled_response.ConnectionOwner):
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
    ) -> expression.Result[pooled_response.PooledResponse, http_exchange.ExchangeError]:
        """Send a request and return its response once the head has been received."""
        reused = self._take_idle(request) if request.may_reuse else None
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
    ) -> expression.Result[pooled_response.Response, http_exchange.ExchangeError]:
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
        self.release(address, opened.ok, pooled_response.DEFAULT_IDLE_SECONDS)
        return False

    def _take_idle(self, request: PoolRequest) -> http_connection.Connection | None:
        """
        Return an idle connection for a request, or None if a new one is to be opened.

        If no idle one can be used, because the last request of each has the same id, the new one
        replaces one of them: a server limits its connections, and each order would add one.
        """
        while True:
            with self._lock:
                item, is_usable = self._pop_idle(request)
            if item is None:
                return None
            is_open = item.expires_at > clock.read_now() and item.connection.is_reusable
            if is_usable and is_open:
                return item.connection
            item.connection.close()
            if not is_usable:
                return None

    def _pop_idle(self, request: PoolRequest) -> tuple[_Idle | None, bool]:
        """Remove and return the first idle connection to use or else to replace, and which."""
        idle = self._idle.get(request.address)
        if not idle:
            return None, False
        for index, item in enumerate(idle):
            if item.connection.can_carry(request.request_id):
                return idle.pop(index), True
        return idle.pop(0), False

    def _connect(
        self, address: str, deadline: clock.Deadline
    ) -> expression.Result[http_connection.Connection, http_exchange.ExchangeError]:
        host, _, port = address.rpartition(":")
        if not network_address.is_port(port):  # the resolver takes a larger port modulo 65536
            reach = http_exchange.Reach.NOT_CONNECTED
            return expression.Error(http_exchange.ExchangeError("a port out of range", reach))
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
    ) -> expression.Result[pooled_response.PooledResponse, Exception]:
        connection.set_deadline(deadline, is_cancelled)
        connection.record_request(request.request_id)
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
        except pooled_response.FAILURES as error:
            connection.close()
            return expression.Error(error)
        return expression.Ok(
            pooled_response.PooledResponse(
                self, request.address, connection, response, was_sent_before
            )
        )


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
