"""HTTP stand-ins of the platform: its store, backend servers and the receiver of usage reports."""

import base64
import collections
import contextlib
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

_LENGTH_PREFIX = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")
_HOST = "127.0.0.1"
EVENTS = 5
FATAL_BODY = b"fatal"
"""A request with this body crashes each server that runs it."""
UNLUCKY_BODY = b"unlucky"
"""A sound request under which servers crash for other reasons, as often as their site says."""
_SILENT_SECONDS = 3.0
"""Delay of a silent store's answers, longer than the program's timeout for any store call."""


def encode_keyed_record(key, value):
    """Encode a record of a keyed topic: a byte with the key's length, the key, the value."""
    return bytes([len(key)]) + key + value


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def do_GET(self):
        self._handle()

    def do_POST(self):
        self._handle()

    def _handle(self):
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.owner.answer(self, parts.path, query, body)

    def send(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_json(self, content):
        self.send(200, json.dumps(content).encode())


class _QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, address, handler):
        self._open = set()
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Print no traceback: killed clients disconnect in the middle of answers."""

    def close_connections(self):
        """Close every connection, also those with a request in progress."""
        for request in list(self._open):
            with contextlib.suppress(OSError):
                request.shutdown(socket.SHUT_RDWR)


class HttpStandin:
    """HTTP server that can be killed and restarted at the same address."""

    def __init__(self):
        self._serve(0)

    @property
    def address(self):
        return f"{_HOST}:{self._server.server_address[1]}"

    def stop(self):
        self._server.shutdown()
        self._server.server_close()

    def end(self):
        """Simulate a killed process: stop listening and close all connections."""
        self._server.socket.shutdown(socket.SHUT_RDWR)
        self._server.server_close()
        self._server.close_connections()
        threading.Thread(target=self._server.shutdown, daemon=True).start()

    def start_again(self):
        """Listen again at the previous address."""
        self._serve(self._server.server_address[1])

    def _serve(self, port):
        self._server = _QuietServer((_HOST, port), _Handler)
        self._server.owner = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()


class _EndingFile:
    """Sends as many bytes as stated, then closes the connection and raises an error."""

    def __init__(self, handler, length):
        self._handler = handler
        self._file = handler.wfile
        self._left = length

    def __getattr__(self, name):
        return getattr(self._file, name)

    def write(self, data):
        self._file.write(data[: self._left])
        self._left -= len(data)
        if self._left < 0:
            _abort_connection(self._handler)
            raise ConnectionAbortedError


class Store(HttpStandin):
    """Platform store: partitioned topics, keyed topics and consumer groups."""

    def __init__(self, partitions=4):
        super().__init__()
        self.is_down = False
        self.is_silent = False
        self.slow_seconds = 0.0
        self._members = {}
        self._generation = 0
        self._assigned = {}
        self.partitions = partitions
        self._changed = threading.Condition()
        self._records = collections.defaultdict(list)

    def put(self, topic, key, content):
        self.put_bytes(topic, key.encode(), json.dumps(content).encode())

    def put_bytes(self, topic, key, value):
        """Append a record whose key and value may be no text; an empty value deletes the key."""
        self.append(topic, 0, encode_keyed_record(key, value))

    def append(self, topic, partition, record):
        with self._changed:
            self._records[topic, partition].append(record)
            self._changed.notify_all()

    def answer(self, handler, path, query, body):
        time.sleep(self.slow_seconds)
        if self.is_silent:
            time.sleep(_SILENT_SECONDS)
        if self.is_down or self.is_silent:
            handler.send(503)
            return
        name = path.removeprefix("/api/log-")
        getattr(self, f"_answer_{name}")(handler, query, body)

    def _answer_append(self, handler, query, body):
        records = []
        while body:
            (length,) = _LENGTH_PREFIX.unpack_from(body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self._changed:
            held = self._records[query["topic"], int(query["part"])]
            if "at" in query and int(query["at"]) != len(held):
                handler.send(412, json.dumps({"end": len(held)}).encode())
                return
            offset = len(held)
            held.extend(records)
            self._changed.notify_all()
        handler.send_json({"offset": offset, "end": offset + len(records)})

    def _answer_read(self, handler, query, body):
        held = self._records[query["topic"], int(query["part"])]
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            while len(held) <= offset and time.monotonic() < until:
                self._changed.wait(until - time.monotonic())
            records = held[offset:]
            head = _PAGE_HEADER.pack(len(held), 0)
        handler.send(200, head + b"".join(_LENGTH_PREFIX.pack(len(r)) + r for r in records))

    def _answer_newest(self, handler, query, body):
        with self._changed:
            held = list(self._records[query["topic"], 0])
        newest = {r[1 : 1 + r[0]]: (n, r[1 + r[0] :]) for n, r in enumerate(held)}
        items = [
            {
                "key": key.decode(errors="surrogateescape"),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
        ]
        handler.send_json({"items": items, "has_more": False, "end": len(held)})

    def _answer_join(self, handler, query, body):
        asked = json.loads(body)
        topic, ttl_ms = asked["topics"][0], asked["ttl_ms"]
        with self._changed:
            self._members[asked["group"], asked["member"]] = time.monotonic() + ttl_ms / 1000
            dealt = self._assign_partitions(asked["group"])
            mine = [part for part, member in dealt.items() if member == asked["member"]]
            generation = self._generation
        rows = [[topic, partition, 0] for partition in mine]
        handler.send_json({"generation": generation, "ttl_ms": ttl_ms, "parts": rows})

    def _assign_partitions(self, group):
        """Assign partitions evenly, in the order of names, to members with an unexpired TTL."""
        now = time.monotonic()
        members = sorted(
            m for (g, m), until in self._members.items() if g == group and until > now
        )
        dealt = {part: members[part % len(members)] for part in range(self.partitions)}
        if self._assigned.get(group) != dealt:
            self._assigned[group] = dealt
            self._generation += 1
        return dealt

    def _answer_leave(self, handler, query, body):
        asked = json.loads(body)
        with self._changed:
            self._members.pop((asked["group"], asked["member"]), None)
        handler.send_json({})


class BackendServer(HttpStandin):
    """Backend server that streams items, answers calls and accepts weight orders."""

    def __init__(self, name):
        super().__init__()
        self.name = name
        self.orders = []
        self.seen = []
        self.version = 1
        self.event_seconds = 0.01
        self.call_status = 200
        self.call_headers = ()
        """More headers of the answers to calls."""
        self.lost_answers = 0
        """Number of upcoming requests that run, but whose answers are lost or truncated."""
        self.choose_length = None
        """Returns how many bytes of such an answer are sent; without it, none or half a stream."""
        self.ended_at = []
        """Monotonic times, in seconds, at which a fatal request crashed the server."""
        self.take_crash = lambda: False
        """Returns whether the server crashes now, under an unlucky request."""
        self.on_ended = None
        """Called with this server as its argument after a crash, to restart it."""

    def answer(self, handler, path, query, body):
        if handler.headers.get("X-Oleanderdeal-Expect-Instance") != self.name:
            handler.send(421)
        elif path == "/api/report":
            models = [{"name": "m", "version": self.version, "adapters": []}]
            handler.send_json(
                {"models": models, "busy": False, "sequence": len(self.orders), "stage": "both"}
            )
        elif path == "/api/order":
            self.orders.append(json.loads(body))
            self.version = self.orders[-1]["version"]
            handler.send(202)
        else:
            self._run(handler, path, body)

    def _run(self, handler, path, body):
        request_id = handler.headers["X-Oleanderdeal-Attempt-Id"]
        self.seen.append((request_id, path, body, dict(handler.headers)))
        if body == FATAL_BODY or (body == UNLUCKY_BODY and self.take_crash()):
            time.sleep(self.event_seconds)
            self.ended_at.append(time.monotonic())
            self.end()
            self.on_ended(self)
            return
        headers = [
            ("X-Oleanderdeal-Attempt-Id", request_id),
            ("X-Oleanderdeal-Server-Stamp", f"stamp-{request_id}"),
        ]
        is_lost, self.lost_answers = self.lost_answers > 0, max(0, self.lost_answers - 1)
        if is_lost and self.choose_length is not None:
            handler.wfile = _EndingFile(handler, self.choose_length())
            is_lost = False
        if not path.startswith(("/items/", "/streams/")):
            time.sleep(self.event_seconds)
            if is_lost:
                _abort_connection(handler)
                return
            content = b"answer to " + body
            handler.send(self.call_status, content, [*headers, *self.call_headers])
            return
        handler.send_response(200)
        for name, value in [*headers, ("X-Oleanderdeal-Weight-Versions", str(self.version))]:
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        last = handler.headers.get("Last-Event-Id", "")
        for number in range((int(last) if last.isdigit() else 0) + 1, EVENTS + 1):
            time.sleep(self.event_seconds)
            if is_lost and number > EVENTS // 2:
                _abort_connection(handler)
                return
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")


class UsageCollector(HttpStandin):
    """Receiver of usage reports that records them and the faults found in them."""

    def __init__(self):
        super().__init__()
        self.reports = {}
        self.problems = []
        self._newest = 0

    def answer(self, handler, path, query, body):
        report = json.loads(body)
        fencing = int(handler.headers.get("X-Oleanderdeal-Fencing-Token", -1))
        if path != "/usage" or not handler.headers.get("X-Oleanderdeal-Duty-Holder"):
            self.problems.append((path, dict(handler.headers)))
        if fencing < self._newest:
            self.problems.append(f"fencing number {fencing} after {self._newest}")
        if self.reports.setdefault(report["window"], report) != report:
            self.problems.append(f"another report of window {report['window']}")
        self._newest = fencing
        handler.send(200)


def _abort_connection(handler):
    """Close the connection in the middle of an answer."""
    handler.close_connection = True
    with contextlib.suppress(OSError):
        handler.connection.shutdown(socket.SHUT_RDWR)
