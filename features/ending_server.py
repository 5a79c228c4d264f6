"""A server that closes one connection, or ends with all of them, while it answers."""

import contextlib
import socket
import threading

_HEAD_END = b"\r\n\r\n"
_CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
FATAL = b"/fatal"
"""A request whose head contains this triggers the fault that the server was created with."""


class EndingServer:
    """
    Answers requests on persistent connections; a fatal request triggers the fault `does`.

    With the fault "breaks off, then STATUS" only the first fatal request is broken off, and
    further ones are answered with that status.
    """

    def __init__(self, does, fatal=FATAL):
        self._does = does
        self._fatal = fatal
        self._connections = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.runs = 0
        """The number of fatal requests received."""
        self.headers = ""
        """Header lines, each with its line end, of an answer with a status."""
        self.content = b"ab"
        """The body of the answers to requests that are not fatal."""
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """Stop as an ended process does: close the listener and all connections."""
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
                    self._handle_fatal(connection)
                else:
                    connection.sendall(self._build_answer())

    def _build_answer(self):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.content)}\r\n\r\n"
        return head.encode() + self.content

    def _handle_fatal(self, connection):
        does, _, status = self._does.partition(", then ")
        if status and self.runs > 1:
            answer = f"HTTP/1.1 {status} Later\r\nContent-Length: 0\r\n{self.headers}\r\n"
            connection.sendall(answer.encode())
        else:
            self._fail(connection)

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
        chunk = connection.recv(65536)
        if not chunk:
            return b""
        received += chunk
    return received


def _close(connection):
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
