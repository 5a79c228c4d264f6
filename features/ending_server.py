"""A server that breaks off, or ends with all its connections, while it answers."""

import contextlib
import socket
import threading

_HEAD_END = b"\r\n\r\n"
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
_CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
FATAL = b"/fatal"
"""A request whose head has this makes it do what it was created for."""


class EndingServer:
    """Answers requests on kept connections; `does` says what a fatal one leads to."""

    def __init__(self, does, fatal=FATAL):
        self._does = does
        self._fatal = fatal
        self._connections = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.runs = 0
        """Fatal requests that reached it."""
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """End like a process: nothing listens, and all connections are closed."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._connections:
            _close(connection)

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError):
            while head := _receive(connection):
                if self._fatal in head:
                    self.runs += 1
                    self._fail(connection)
                else:
                    connection.sendall(_ANSWER)

    def _fail(self, connection):
        if self._does == "is silent":
            return
        if self._does.startswith("cuts"):
            connection.sendall(_CUT)
        if self._does.endswith("ends"):
            self.stop()
        else:
            _close(connection)


def _receive(connection):
    received = b""
    while _HEAD_END not in received:
        piece = connection.recv(65536)
        if not piece:
            return b""
        received += piece
    return received


def _close(connection):
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
