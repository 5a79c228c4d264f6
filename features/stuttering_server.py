"""A server that repeats its last answer on a connection once the next request has arrived."""

import contextlib
import socket
import threading

_HEAD_END = b"\r\n\r\n"


class StutteringServer:
    """Answers each request by the next of `answers`, and by the last one from then on."""

    def __init__(self, answers):
        self._answers = answers
        self._received = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        late = b""
        with connection, contextlib.suppress(OSError):
            while _receive_request(connection):
                answer = self._answers[min(self._received, len(self._answers) - 1)]
                self._received += 1
                connection.sendall(late + answer)
                late = answer


def _receive_request(connection):
    received = b""
    while _HEAD_END not in received:
        chunk = connection.recv(65536)
        if not chunk:
            return False
        received += chunk
    head, _, body = received.partition(_HEAD_END)
    stated = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    length = int(stated[0].partition(b":")[2]) if stated else 0
    while len(body) < length:
        body += connection.recv(65536)
    return True
