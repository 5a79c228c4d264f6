"""A server that reads a request and then sends bytes until its caller closes the connection."""

import contextlib
import socket
import threading
import time

_HEAD_END = b"\r\n\r\n"
_FILLED = b"x" * 32_768
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n"
_SLOW_SECONDS = 0.02
_PATTERNS = {
    "a status line": (b"HTTP/1.1 200 ", _FILLED, False),
    "one header line": (_OK + b"X-Header: ", _FILLED, False),
    "header lines": (_OK, b"X-Header: value\r\n", False),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", False),
    "a body": (_OK, _FILLED, True),
    "chunks": (_CHUNKED, b"8000\r\n" + _FILLED + b"\r\n", True),
    "sizes of tiny chunks": (_CHUNKED, b"1;" + b"e" * 8_000 + b"\r\nx\r\n", True),
    "trailers": (_CHUNKED, b"X-Trailer: value\r\n", True),
    "one line": (_OK, _FILLED, True),
    "comments": (_OK, b": a comment\n", True),
    "empty lines": (_OK, b"\n", True),
    "lines of one event": (_OK, b"data: more\n", True),
}
"""What comes first, what is repeated, and whether the head is complete, for each kind of bytes."""
_LARGE_WRITE_BYTES = 65_536


class EndlessServer:
    """Sends one kind of bytes without end to each request, and counts those that were sent."""

    def __init__(self, kind, is_slow=False):
        self.sent_bytes = 0
        self.open_connections = 0
        self._first, self._repeated, self._has_head = _PATTERNS[kind]
        self._body_start = b"0\r\n" if kind == "trailers" else b""
        if not is_slow:
            self._repeated *= max(1, _LARGE_WRITE_BYTES // len(self._repeated))
        self._is_slow = is_slow
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._count(0, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            request_id = _read_request_id(connection)
            if request_id is None:
                self._count(0, -1)
                return
            head = b""
            if self._has_head:
                named = (
                    f"X-Oleanderdeal-Attempt-Id: {request_id}\r\n\r\n" if request_id else "\r\n"
                )
                head = named.encode() + self._body_start
            connection.sendall(self._first + head)
            while True:
                connection.sendall(self._repeated)
                self._count(len(self._repeated), 0)
                if self._is_slow:
                    time.sleep(_SLOW_SECONDS)
        self._count(0, -1)

    def _count(self, sent, opened):
        with self._lock:
            self.sent_bytes += sent
            self.open_connections += opened


def _read_request_id(connection):
    """Return the id of the request, empty if it has none, or None if no request comes."""
    received = b""
    while _HEAD_END not in received:
        chunk = connection.recv(65_536)
        if not chunk:
            return None
        received += chunk
    for line in received.decode(errors="replace").split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "x-oleanderdeal-attempt-id":
            return value
    return ""
