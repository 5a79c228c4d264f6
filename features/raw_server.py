"""An HTTP server that answers with given bytes, which may be malformed or incomplete."""

import contextlib
import socket
import threading

_REQUEST_SECONDS = 10.0
_HEAD_END = b"\r\n\r\n"


class RawServer:
    """Serves connections one after the other and answers each request with `pieces`."""

    def __init__(self, pieces, keeps_open=False, pause=0.0, max_answers=1000):
        """
        Pause for `pause` seconds before each piece.

        After `max_answers` answers, close connections without an answer.
        """
        self.requests = []
        self.connections = 0
        self._pieces = pieces
        self._keeps_open = keeps_open
        self._pause = pause
        self._max_answers = max_answers
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def url(self):
        host, port = self._listener.getsockname()
        return f"http://{host}:{port}"

    def stop(self):
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join(_REQUEST_SECONDS)
        self._listener.close()

    def _serve(self):
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            connection.settimeout(_REQUEST_SECONDS)
            with connection, contextlib.suppress(OSError):
                self._serve_connection(connection)

    def _serve_connection(self, connection):
        while self._receive_request(connection) and len(self.requests) <= self._max_answers:
            for piece in self._pieces:
                if self._stopping.wait(self._pause):
                    return
                connection.sendall(piece)
            if not self._keeps_open:
                return

    def _receive_request(self, connection):
        received = b""
        while _HEAD_END not in received:
            piece = connection.recv(65536)
            if not piece:
                return False
            received += piece
        head, _, body = received.partition(_HEAD_END)
        length = _read_length(head)
        while len(body) < length:
            body += connection.recv(65536)
        self.requests.append(head.split(b"\r\n")[0].decode())
        return True


def _read_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
