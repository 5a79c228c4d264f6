"""Responses that are received on a connection of a pool."""

import abc
import dataclasses
import http.client

import expression

from oleander_base import http_connection, http_exchange, receive_budget, whole_response

_MAX_LINE_BYTES = 256 * 1024
"""The longest line of a streamed body; the platform stores no larger record."""
DEFAULT_IDLE_SECONDS = 20.0
"""The idle timeout of a server that does not send its own in a Keep-Alive header."""
FAILURES = (OSError, http.client.HTTPException, ValueError)
"""What sending a request and receiving its response may raise."""
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
class Response:
    """A complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_framed: bool
    """Whether the body had a stated length or was chunked; otherwise the close of the connection,
    without a reset, ended it."""
    earlier_requests: int
    """How many requests were sent on the connection before."""
    was_sent_before: bool = False
    """Whether the request was sent before, on a connection that failed. The server may have
    executed that copy, whatever it answers to this one."""

    def find_header(self, name: str) -> str:
        """Return the value of a header (case-insensitive), or an empty string."""
        return _find_header(self.headers, name)


class ConnectionOwner(abc.ABC):
    """Takes back the connections of responses that were received."""

    @property
    @abc.abstractmethod
    def budget(self) -> receive_budget.ReceiveBudget:
        """The bytes that the responses being received may hold."""

    @abc.abstractmethod
    def release(
        self, address: str, connection: http_connection.Connection, seconds: float
    ) -> None:
        """Take back a connection whose response was read to the end; it may idle so long."""

    @abc.abstractmethod
    def describe_error(self, address: str, error: Exception) -> http_exchange.ExchangeError:
        """Convert an exception to an error value."""


class PooledResponse:
    """A response being received; not thread-safe."""

    def __init__(
        self,
        owner: ConnectionOwner,
        address: str,
        connection: http_connection.Connection,
        response: whole_response.WholeResponse,
        was_sent_before: bool = False,
    ) -> None:
        self._was_sent_before = was_sent_before
        self._earlier_requests = connection.request_count - 1
        self._owner = owner
        self._address = address
        self._connection = connection
        self._response = response
        self._headers = tuple(response.getheaders())
        self._idle_seconds = _read_idle_seconds(response)
        self._is_framed = response.is_framed
        self._buffer = b""
        self._line_start = 0
        """Where the next line begins in the buffer."""
        self._account = receive_budget.AnswerAccount(owner.budget, http_exchange.MAX_BODY_BYTES)

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._response.status

    @property
    def was_sent_before(self) -> bool:
        """Whether the request was sent before, on a connection that failed."""
        return self._was_sent_before

    @property
    def earlier_requests(self) -> int:
        """How many requests were sent on the connection before."""
        return self._earlier_requests

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
        except FAILURES as error:
            self.close()
            return expression.Error(self._describe(error))
        if not end:
            self._finish()
            return expression.Ok(b"")
        line = bytes(memoryview(self._buffer)[self._line_start : end])
        self._line_start = end
        return expression.Ok(line)

    def read_whole(
        self, max_bytes: int = http_exchange.MAX_BODY_BYTES
    ) -> expression.Result[Response, http_exchange.ExchangeError]:
        """Return the complete response; one that is truncated or too large is an error."""
        body = receive_budget.BodyBuffer()
        try:
            while chunk := self._read_chunk():
                body.add(chunk)
                if len(body) > max_bytes:
                    raise ValueError(f"the answer is larger than {max_bytes} bytes")
        except FAILURES as error:
            self.close()
            return expression.Error(self._describe(error))
        answer = Response(
            self.status,
            self.headers,
            body.join(),
            self._is_framed,
            self._earlier_requests,
            self._was_sent_before,
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

        http.client raises no error for a truncated body of stated length, so the remaining length
        is checked.
        """
        chunk = self._response.read1(http_exchange.CHUNK_BYTES)
        if not chunk and self._response.length:
            raise http.client.IncompleteRead(b"", self._response.length)
        self._account.add(len(chunk))
        return chunk

    def _describe(self, error: Exception) -> http_exchange.ExchangeError:
        return self._owner.describe_error(self._address, error)

    def _finish(self) -> None:
        can_be_reused = self._is_framed and self._idle_seconds > 0.0 and self._connection.is_open
        if can_be_reused and not self._response.has_surplus():
            self._account.close()
            self._response.close()
            self._owner.release(self._address, self._connection, self._idle_seconds)
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
    return DEFAULT_IDLE_SECONDS
