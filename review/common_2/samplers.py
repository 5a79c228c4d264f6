"""Stand-in of a sampler: runs requests, echoes their ids and registers itself in the store."""

import http.server
import json
import select
import threading
import time

from common_2 import store as stores

_BEAT_SECONDS = 1.2
_PREFIX = "X-Oleanderdeal-"


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024
    timeout = 60.0

    def log_message(self, *arguments):
        """Write no access log."""

    def _serve(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        try:
            self.server.owner.answer(self, body)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = do_PUT = do_HEAD = _serve  # noqa: N815

    def is_cut(self):
        """Tell whether the caller has closed the channel."""
        poll = select.poll()
        poll.register(self.connection, select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    def send(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Keep-Alive", "timeout=20")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Print no traceback: callers may disconnect in the middle of answers."""


class Sampler:
    """One lifetime of a sampler; `run` decides what it does with a request."""

    def __init__(self, name, service, store, record, slots=6, run=None):
        self.name = name
        self.service = service
        self.slots = slots
        self.record = record
        self._store = store
        self._run = run or answer_after(0.02)
        self._lock = threading.Lock()
        self._running = 0
        self._sequence = 0
        self._is_up = True
        self._server = _Server((stores.HOST, 0), _Handler)
        self._server.owner = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def address(self):
        return f"{stores.HOST}:{self._server.server_address[1]}"

    def stop(self):
        self._is_up = False
        self._server.shutdown()
        self._server.server_close()

    def _beat(self):
        while self._is_up:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
            }
            self._store.put("keyed.servers", self.name, entry)
            time.sleep(_BEAT_SECONDS)

    def answer(self, handler, body):
        named = handler.headers.get(f"{_PREFIX}Expect-Instance")
        request_id = handler.headers.get(f"{_PREFIX}Attempt-Id")
        echo = [(f"{_PREFIX}Attempt-Id", request_id or "")]
        if named is not None and named != self.name:
            handler.send(421, b"", [*echo, (f"{_PREFIX}Instance-Id", self.name)])
            return
        if handler.path == "/health":
            handler.send(200, b"", [(f"{_PREFIX}Instance-Id", self.name)])
            return
        if request_id is None:
            handler.send(400, b"", [(f"{_PREFIX}Not-Run", "1")])
            return
        with self._lock:
            is_full = self._running >= self.slots
            self._running += 0 if is_full else 1
        if is_full:
            handler.send(503, b"", [*echo, (f"{_PREFIX}Not-Run", "1")])
            return
        self.record.add(
            "run",
            sampler=self.name,
            id=request_id,
            path=handler.path,
            last_event_id=handler.headers.get("Last-Event-Id"),
            deadline_ms=handler.headers.get(f"{_PREFIX}Deadline-Ms"),
        )
        try:
            self._run(self, handler, request_id, body)
        finally:
            with self._lock:
                self._running -= 1

    def stamp(self, request_id):
        return f"stamp.{self.name}.{request_id}"

    def run_headers(self, request_id):
        return [
            (f"{_PREFIX}Attempt-Id", request_id),
            (f"{_PREFIX}Server-Stamp", self.stamp(request_id)),
        ]


def answer_after(seconds):
    """Return a run that works for some seconds and then answers with 200."""

    def run(sampler, handler, request_id, body):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if handler.is_cut():
                raise ConnectionResetError
            time.sleep(min(0.01, max(0.0, until - time.monotonic())))
        content = json.dumps({"id": request_id, "sampler": sampler.name}).encode()
        handler.send(200, content, sampler.run_headers(request_id))

    return run
