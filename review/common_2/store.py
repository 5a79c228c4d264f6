"""Stand-in of the platform's store: a log with partitions, keyed topics and consumer groups."""

import base64
import collections
import http.server
import json
import random
import socket
import struct
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")
_MAX_WAIT_MS = 30_000
_PORTS = range(20_000, 32_000)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024

    def log_message(self, *arguments):
        """Write no access log."""

    def _serve(self):
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        status, content = self.server.owner.answer(parts.path, query, body)
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()

    do_GET = do_POST = _serve  # noqa: N815


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Print no traceback: killed clients disconnect in the middle of answers."""


class Store:
    """Answers the calls of PROTOCOL.md, section "The platform's metadata store", as a log."""

    def __init__(self, partitions=24):
        self._parts = partitions
        self._changed = threading.Condition()
        self._records = collections.defaultdict(list)
        self._members = {}
        self._dealt = {}
        self._generations = collections.Counter()
        self._server = _Server((HOST, 0), _Handler)
        self._server.owner = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"{HOST}:{self._server.server_address[1]}"

    def stop(self):
        self._server.shutdown()
        self._server.server_close()

    def put(self, topic, key, content):
        """Write a record of a keyed topic, as the operator and the samplers do."""
        value = b"" if content is None else json.dumps(content).encode()
        raw = key.encode()
        with self._changed:
            self._records[topic, 0].append(bytes([len(raw)]) + raw + value)
            self._changed.notify_all()

    def answer(self, path, query, body):
        name = path.removeprefix("/api/log-").replace("-", "_")
        method = getattr(self, f"_answer_{name}", None)
        return (404, {}) if method is None else method(query, body)

    def _answer_append(self, query, body):
        records = []
        while body:
            (length,) = _LENGTH.unpack_from(body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self._changed:
            held = self._records[query["topic"], int(query["part"])]
            if "at" in query and int(query["at"]) != len(held):
                return 412, {"end": len(held)}
            offset = len(held)
            held.extend(records)
            self._changed.notify_all()
        return 200, {"offset": offset, "end": offset + len(records)}

    def _answer_read(self, query, body):
        offset = int(query["from"])
        wait_ms = min(_MAX_WAIT_MS, int(query.get("wait_ms", 0)))
        until = time.monotonic() + wait_ms / 1000
        limit = int(query.get("max_kb", 1024)) * 1024
        with self._changed:
            held = self._records[query["topic"], int(query["part"])]
            while len(held) <= offset and time.monotonic() < until:
                self._changed.wait(max(0.0, until - time.monotonic()))
            end = len(held)
            page, size = [], 0
            for record in held[offset:]:
                size += len(record) + 4
                if page and size > limit:
                    break
                page.append(_LENGTH.pack(len(record)) + record)
        return 200, _HEAD.pack(end, 0) + b"".join(page)

    def _answer_newest(self, query, body):
        with self._changed:
            held = list(self._records[query["topic"], int(query["part"])])
        newest = {}
        for offset, record in enumerate(held):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        return 200, {"items": items, "has_more": False, "end": len(held)}

    def _answer_join(self, query, body):
        asked = json.loads(body)
        group, member, topic = asked["group"], asked["member"], asked["topics"][0]
        now = time.monotonic()
        with self._changed:
            self._members[group, member] = now + asked["ttl_ms"] / 1000
            dealt = self._deal(group, now)
            generation = self._generations[group]
        rows = [[topic, part, 0] for part, owner in dealt.items() if owner == member]
        return 200, {"generation": generation, "ttl_ms": asked["ttl_ms"], "parts": rows}

    def _deal(self, group, now):
        members = sorted(
            m for (g, m), until in self._members.items() if g == group and until > now
        )
        dealt = {part: members[part % len(members)] for part in range(self._parts)}
        if self._dealt.get(group) != dealt:
            self._dealt[group] = dealt
            self._generations[group] += 1
        return dealt

    def _answer_leave(self, query, body):
        asked = json.loads(body)
        with self._changed:
            self._members.pop((asked["group"], asked["member"]), None)
        return 200, {}

    def _answer_commit(self, query, body):
        return 200, {}


def find_port():
    """Return a random port that is free now, below those given to outgoing connections."""
    while True:
        port = random.SystemRandom().choice(_PORTS)
        try:
            with socket.create_server((HOST, port)):
                return port
        except OSError:
            continue
