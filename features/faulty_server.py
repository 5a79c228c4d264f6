"""Backend servers whose first answers end early, are no answers of theirs, or come twice."""

import contextlib
import socket
import threading
import time

import platform_standin

_ENDS = {
    "its status line": (1, 0),
    "the header that names its request": (2, 0),
    "half of its stamp header": (2, 30),
    "its stamp header": (3, 0),
    "its last header": (4, 0),
    "its head": (5, 0),
    "half of the size of its second chunk": (6, 2),
    "half of the size of its last chunk": (7, 2),
}
"""How many whole pieces of an answer are sent, and how many bytes of the next one."""
_STAMP_PIECE = 2
_FIRST_ANSWER = b"HTTP/1.1 %b\r\n%bContent-Length: 0\r\n\r\n"
_FIRST_ANSWERS = {
    "a failure": (b"500 Failed", b"X-Oleanderdeal-Attempt-Id: %b\r\n"),
    "a refusal": (
        b"503 Full",
        b"X-Oleanderdeal-Attempt-Id: %b\r\nX-Oleanderdeal-Not-Run: 1\r\n",
    ),
    "a refusal without an id": (b"503 Full", b"X-Oleanderdeal-Not-Run: 1\r\n"),
}


class Fault:
    """What the first answer of several servers is, and how many answers are left to be so."""

    def __init__(self, kind, answers=1):
        self.kind = kind
        self.run_ids = []
        """The ids of the requests that had no faulty answer."""
        self.most_running = 0
        """The most requests of one id that ran at once, on connections that were open."""
        self.on_late_answer = lambda: None
        """Called before an answer comes again."""
        self._left = answers
        self._running = []
        self._lock = threading.Lock()

    def take(self):
        """Return whether the next answer has the fault."""
        with self._lock:
            self._left -= 1
            return self._left >= 0

    @contextlib.contextmanager
    def watch(self, request_id, connection):
        """Count a request as running meanwhile."""
        run = (request_id, connection)
        with self._lock:
            self.run_ids.append(request_id)
            self._running.append(run)
            wanted = [name for name, opened in self._running if _is_open(opened)]
            self.most_running = max(self.most_running, wanted.count(request_id))
        try:
            yield
        finally:
            with self._lock:
                self._running.remove(run)


class FaultyServer(platform_standin.BackendServer):
    """Answers requests like a sound server, except for those answers that have the fault."""

    def __init__(self, name, fault):
        super().__init__(name)
        self.faulty_ids = []
        """The ids of the requests that had faulty answers; `seen` has all others."""
        self._fault = fault

    def _run(self, handler, path, body):
        request_id = handler.headers["X-Oleanderdeal-Attempt-Id"]
        if self._fault.take():
            self.faulty_ids.append(request_id)
            self._answer_badly(handler, request_id.encode(), path, body)
            return
        with self._fault.watch(request_id, handler.connection):
            if late_answer := vars(handler).pop("late_answer", b""):
                self._fault.on_late_answer()
                handler.wfile.write(late_answer)
                time.sleep(self.event_seconds)
            super()._run(handler, path, body)

    def _answer_badly(self, handler, request_id, path, body):
        kind, _, place = self._fault.kind.partition(" after ")
        is_stream = path.startswith(("/items/", "/streams/"))
        if kind == "ends":
            pieces = _build_answer(request_id, is_stream, request_id if is_stream else body)
            whole, more = _ENDS[place]
            handler.wfile.write(b"".join(pieces[:whole]) + pieces[whole][:more])
            handler.close_connection = True
        elif kind.startswith("comes again"):
            status, headers = _FIRST_ANSWERS[kind.partition(", ")[2]]
            answer = _FIRST_ANSWER % (status, headers.replace(b"%b", request_id))
            handler.wfile.write(answer)
            handler.late_answer = answer
        else:
            pieces = _build_answer(request_id, is_stream, b"stranger")
            if kind == "has no stamp":
                pieces[_STAMP_PIECE] = b""
            else:
                pieces[_STAMP_PIECE] += b"Content-Encoding: gzip\r\n"
            handler.wfile.write(b"".join(pieces))


def _is_open(connection):
    """Return whether the peer has not closed a connection."""
    try:
        return bool(connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return True
    except OSError:
        return False


def _build_answer(request_id, is_stream, text):
    """Return the pieces of an answer in two chunks, whose sizes are padded with zeros."""
    parts = [b"answer ", b"to ", text]
    if is_stream:
        numbers = range(1, platform_standin.EVENTS + 1)
        parts = [b"id: %d\ndata: %b.%d\n\n" % (number, text, number) for number in numbers]
    bodies = (b"".join(parts[:2]), b"".join(parts[2:]), b"")
    return [
        b"HTTP/1.1 200 OK\r\n",
        b"X-Oleanderdeal-Attempt-Id: %b\r\nX-Oleanderdeal-Weight-Versions: 1\r\n" % request_id,
        b"X-Oleanderdeal-Server-Stamp: stamp-%b\r\n" % request_id,
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        *(b"%04x\r\n%b\r\n" % (len(body), body) for body in bodies),
    ]
