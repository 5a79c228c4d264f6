"""Links: WebSocket connections between entries and sidecars that carry messages."""

import collections.abc
import contextlib
import dataclasses
import select
import socket
import struct
import threading

import expression
import websockets
import websockets.sync.client
import websockets.sync.connection
import websockets.sync.server

from oleander_base import clock, findings, log
from oleander_wire import codec, messages

_CLOSE_BAD_FRAME = 1007
_CLOSE_SECONDS = 1.0
_HANDSHAKE_SECONDS = 5.0
_SEND_SECONDS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class LinkError:
    """The connection failed or was closed, or could not be opened."""

    detail: str
    is_refused: bool = False
    """Whether the connection was refused, which means that no process listens there."""


def _set_send_timeout(connected: socket.socket) -> None:
    """
    Set a send timeout of two seconds and disable Nagle's algorithm.

    A suspended peer stops reading. Once the socket buffers are full, a send to it would block its
    thread as long as the peer is suspended; with the timeout the link is closed instead.
    """
    timeout = struct.pack("ll", _SEND_SECONDS, 0)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Link:
    """A connection that sends and receives messages; several threads may send at once."""

    def __init__(self, connection: websockets.sync.connection.Connection) -> None:
        self._connection = connection
        _set_send_timeout(connection.socket)
        self._send_lock = threading.Lock()
        self._closed = threading.Event()

    @property
    def is_closed(self) -> bool:
        """Whether the link was closed here or a send or receive on it has failed."""
        return self._closed.is_set()

    @property
    def is_closed_by_peer(self) -> bool:
        """
        Whether the peer has closed the link, even if no thread has read the end yet.

        The kernel knows this earlier than the receiving thread, which may have been suspended or
        wait for a CPU, and first has to read the messages that were sent before.
        """
        descriptor = self._connection.socket.fileno()
        if self.is_closed or descriptor < 0:
            return True
        poller = select.poll()
        poller.register(descriptor, select.POLLRDHUP)
        return bool(poller.poll(0))

    def send(self, message: messages.Message) -> expression.Result[None, LinkError]:
        """Send a message; after an error it may have arrived."""
        frame = codec.encode_message(message)
        try:
            with self._send_lock:
                self._connection.send(frame)
        except (websockets.exceptions.ConnectionClosed, OSError) as error:
            self._closed.set()
            return expression.Error(LinkError(type(error).__name__))
        return expression.Ok(None)

    def receive(
        self, deadline: clock.Deadline
    ) -> expression.Result[messages.Message | None, LinkError]:
        """
        Return the next message, or None at the deadline.

        A frame that is not a valid message closes this link with the errors as the reason.
        """
        try:
            frame = self._connection.recv(timeout=deadline.remaining)
        except TimeoutError:
            return expression.Ok(None)
        except (websockets.exceptions.ConnectionClosed, OSError) as error:
            self._closed.set()
            return expression.Error(LinkError(type(error).__name__))
        decoded = codec.decode_message(frame)
        if decoded.is_ok():
            return expression.Ok(decoded.ok)
        return self._close_on_bad_frame(decoded.error)

    def close(self, code: int = 1000, reason: str = "") -> None:
        """Close the link with a close code and reason; wait up to a second for the peer."""
        self._closed.set()
        with contextlib.suppress(websockets.exceptions.WebSocketException, OSError):
            self._connection.close(code, reason[:100])

    def abort(self) -> None:
        """Close the link without waiting for the peer, which may be suspended."""
        self._closed.set()
        with contextlib.suppress(OSError):
            self._connection.socket.shutdown(socket.SHUT_RDWR)
        self.close()

    def _close_on_bad_frame(
        self, problem: findings.Findings
    ) -> expression.Result[messages.Message | None, LinkError]:
        log.warn_bounded("bad-frame", f"invalid message, closing the link: {problem}")
        self.close(_CLOSE_BAD_FRAME, str(problem))
        return expression.Error(LinkError(str(problem)))


def dial_link(address: str, deadline: clock.Deadline) -> expression.Result[Link, LinkError]:
    """Connect to the process that listens at `address` (IP:port)."""
    try:
        connection = websockets.sync.client.connect(
            f"ws://{address}/",
            compression=None,
            proxy=None,
            open_timeout=max(0.05, deadline.remaining),
            close_timeout=_CLOSE_SECONDS,
            ping_interval=None,
            max_size=codec.MAX_FRAME_BYTES,
        )
    except (OSError, TimeoutError, websockets.exceptions.WebSocketException) as error:
        is_refused = isinstance(error, ConnectionRefusedError)
        return expression.Error(LinkError(f"{address}: {type(error).__name__}", is_refused))
    return expression.Ok(Link(connection))


class LinkServer:
    """Accepts up to `max_links` links and runs the handler of each on its own thread."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: collections.abc.Callable[[Link], None],
        max_links: int,
    ) -> None:
        self._handler = handler
        self._slots = threading.BoundedSemaphore(max_links)
        self._server = websockets.sync.server.serve(
            self._serve_connection,
            host,
            port,
            compression=None,
            open_timeout=_HANDSHAKE_SECONDS,
            close_timeout=_CLOSE_SECONDS,
            ping_interval=None,
            max_size=codec.MAX_FRAME_BYTES,
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._server.socket.getsockname()[1])

    def serve(self) -> None:
        """Accept links until `stop` is called."""
        self._server.serve_forever()

    def stop(self) -> None:
        """Accept no more links; the handlers close those that are open."""
        self._server.shutdown()

    def _serve_connection(self, connection: websockets.sync.server.ServerConnection) -> None:
        link = Link(connection)
        if not self._slots.acquire(blocking=False):
            link.close(1013, "too many connections")
            return
        try:
            self._handler(link)
        finally:
            self._slots.release()
            link.close()
