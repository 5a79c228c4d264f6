"""HTTP server on a free loopback port, for the stand-ins of the store and of the servers."""

import contextlib
import http.server
import json
import select
import socket
import struct
import threading
import typing
import urllib.parse

HOST = "127.0.0.1"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of zero, which makes a close reset the connection."""


class Exchange(http.server.BaseHTTPRequestHandler):
    """One connection; each request is passed to the stand-in's `answer`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: "_Server"

    def log_message(self, format: str, *arguments: typing.Any) -> None:  # noqa: A002
        """Print nothing: the record has what matters."""

    def do_GET(self) -> None:  # noqa: N802
        """Answer a GET."""
        self._dispatch()

    def do_POST(self) -> None:  # noqa: N802
        """Answer a POST."""
        self._dispatch()

    def do_DELETE(self) -> None:  # noqa: N802
        """Answer a DELETE."""
        self._dispatch()

    def send(
        self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Send a whole answer."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_json(self, content: object, status: int = 200) -> None:
        """Send a JSON answer."""
        headers = (("Content-Type", "application/json"),)
        self.send(status, json.dumps(content).encode(), headers)

    def reset(self) -> None:
        """Reset the connection."""
        self.close_connection = True
        linger = (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        with contextlib.suppress(OSError):
            self.connection.setsockopt(*linger)
        with contextlib.suppress(OSError):
            self.wfile.flush()
        self.connection.close()

    @property
    def is_client_gone(self) -> bool:
        """Whether the client has closed or reset the connection."""
        try:
            readable, _, _ = select.select([self.connection], [], [], 0)
            return bool(readable) and not self.connection.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def _dispatch(self) -> None:
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.owner.answer(self, parts.path, query, body)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, owner: "HttpStandIn", port: int) -> None:
        self.owner = owner
        self.open_sockets: set[typing.Any] = set()
        super().__init__((HOST, port), Exchange)

    def process_request(self, request: typing.Any, client_address: typing.Any) -> None:
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: typing.Any) -> None:
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: typing.Any, client_address: typing.Any) -> None:
        """Print no traceback: peers disconnect in the middle of answers."""


class HttpStandIn:
    """A server that can crash and listen again at its address."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self._server = _Server(self, 0)
        self._port = self._server.server_address[1]
        self._serve()

    @property
    def address(self) -> str:
        """IP:port."""
        return f"{HOST}:{self._port}"

    def answer(self, exchange: Exchange, path: str, query: dict[str, str], body: bytes) -> None:
        """Answer one request."""
        raise NotImplementedError

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self._server.socket.close()
        for connection in list(self._server.open_sockets):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                connection.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self._server.shutdown, daemon=True).start()

    def listen_again(self) -> None:
        """Listen again at the same address after a crash."""
        self._server = _Server(self, self._port)
        self._serve()

    def _serve(self) -> None:
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()
