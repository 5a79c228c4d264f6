"""Stand-in of the platform's metadata store: a log with partitions, keyed topics and groups."""

import base64
import collections
import collections.abc
import json
import struct
import threading
import time

from common import http_stand_in, record

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
_PARTITIONS = 24
_LENGTH = struct.Struct(">I")
_PAGE_HEAD = struct.Struct(">QQ")
_APPEND_SECONDS = 0.001
_PAGE_KEYS = 500
_OVERSIZE_SECONDS = 2.0
_PROTECTED_TOPICS = ("keyed.op", "keyed.servers")

AppendTrigger = collections.abc.Callable[[str, list[bytes]], bool]


class Store(http_stand_in.HttpStandIn):
    """Loses nothing that it has acknowledged; its answers are linearizable."""

    def __init__(self, written: record.Record) -> None:
        """Start empty."""
        self._record = written
        self._changed = threading.Condition()
        self._topics: dict[tuple[str, int], list[bytes]] = collections.defaultdict(list)
        self._members: dict[tuple[str, str], float] = {}
        self._assignments: dict[str, dict[int, str]] = {}
        self._generation = 0
        self._busy_until = 0.0
        self._reset_trigger: AppendTrigger | None = None
        self._oversize_count = 0
        self._oversize_recorded_at = 0.0
        super().__init__()

    def put(self, topic: str, key: str, content: object) -> None:
        """Write a keyed record, as the operator, the trainers and the servers do."""
        value = json.dumps(content).encode()
        with self._changed:
            self._topics[topic, 0].append(bytes([len(key)]) + key.encode() + value)
            self._changed.notify_all()

    def refuse_all(self, seconds: float) -> None:
        """Answer every call with 503 for a time, in which memberships do not expire."""
        self._busy_until = time.monotonic() + seconds
        with self._changed:
            for key in self._members:
                self._members[key] += seconds
            self._changed.notify_all()

    def reset_after(self, trigger: AppendTrigger) -> None:
        """Carry out the first append that fits, then reset its connection unanswered."""
        self._reset_trigger = trigger

    def count_records(self, topic: str) -> int:
        """Return how many records a topic holds."""
        with self._changed:
            return sum(len(held) for (name, _), held in self._topics.items() if name == topic)

    def answer(
        self,
        exchange: http_stand_in.Exchange,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        """Answer one call."""
        if self._is_busy:
            exchange.send(503)
            return
        answers = {
            "/api/log-append": self._append,
            "/api/log-read": self._read,
            "/api/log-newest": self._read_newest,
            "/api/log-join": self._join,
            "/api/log-leave": self._leave,
        }
        if path in answers:
            answers[path](exchange, query, body)
        else:
            exchange.send(404)

    @property
    def _is_busy(self) -> bool:
        return time.monotonic() < self._busy_until

    def _append(
        self, exchange: http_stand_in.Exchange, query: dict[str, str], body: bytes
    ) -> None:
        topic, part = query["topic"], int(query["part"])
        records = _split(body)
        if topic in _PROTECTED_TOPICS:
            exchange.send(403)
            return
        size = sum(map(len, records))
        if size > CALL_BYTES or max(map(len, records), default=0) > RECORD_BYTES:
            self._record_oversize(topic, size)
            exchange.send(413)
            return
        time.sleep(_APPEND_SECONDS)
        with self._changed:
            held = self._topics[topic, part]
            if "at" in query and int(query["at"]) != len(held):
                exchange.send_json({"end": len(held)}, 412)
                return
            offset = len(held)
            held.extend(records)
            trigger = self._reset_trigger
            is_reset = trigger is not None and trigger(topic, records)
            self._changed.notify_all()
        if is_reset:
            self._reset_trigger = None
            self._record.write("store", f"append to {topic} done, connection reset unanswered")
            exchange.reset()
            return
        exchange.send_json({"offset": offset, "end": offset + len(records)})

    def _record_oversize(self, topic: str, size: int) -> None:
        """Record an append that is too large; a repeated one only now and then."""
        now = time.monotonic()
        self._oversize_count += 1
        if now < self._oversize_recorded_at + _OVERSIZE_SECONDS:
            return
        self._oversize_recorded_at = now
        self._record.write(
            "store",
            f"append to {topic} of {size} bytes gets 413, {self._oversize_count} so far",
        )

    def _read(self, exchange: http_stand_in.Exchange, query: dict[str, str], body: bytes) -> None:
        held = self._topics[query["topic"], int(query["part"])]
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        room = int(query.get("max_kb", 1024)) * 1024
        with self._changed:
            while len(held) <= offset and time.monotonic() < until and not self._is_busy:
                self._changed.wait(until - time.monotonic())
            page = _PAGE_HEAD.pack(len(held), 0)
            found = held[offset:]
        if self._is_busy:
            exchange.send(503)
            return
        parts = [page]
        for item in found:
            room -= len(item) + _LENGTH.size
            if room < 0 and len(parts) > 1:
                break
            parts.append(_LENGTH.pack(len(item)) + item)
        exchange.send(200, b"".join(parts))

    def _read_newest(
        self, exchange: http_stand_in.Exchange, query: dict[str, str], body: bytes
    ) -> None:
        with self._changed:
            held = list(self._topics[query["topic"], 0])
        newest = {
            item[1 : 1 + item[0]].decode(): (offset, item[1 + item[0] :])
            for offset, item in enumerate(held)
        }
        after = query.get("after", "")
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        has_more = len(items) > _PAGE_KEYS
        exchange.send_json({"items": items[:_PAGE_KEYS], "has_more": has_more, "end": len(held)})

    def _join(self, exchange: http_stand_in.Exchange, query: dict[str, str], body: bytes) -> None:
        asked = json.loads(body)
        group, member = asked["group"], asked["member"]
        with self._changed:
            self._members[group, member] = time.monotonic() + asked["ttl_ms"] / 1000
            assigned = self._assign(group)
            generation = self._generation
        rows = [
            [topic, part, 0]
            for topic in asked["topics"]
            for part, holder in assigned.items()
            if holder == member
        ]
        exchange.send_json({"generation": generation, "ttl_ms": asked["ttl_ms"], "parts": rows})

    def _leave(self, exchange: http_stand_in.Exchange, query: dict[str, str], body: bytes) -> None:
        asked = json.loads(body)
        with self._changed:
            self._members.pop((asked["group"], asked["member"]), None)
            self._assign(asked["group"])
        exchange.send_json({})

    def _assign(self, group: str) -> dict[int, str]:
        """Distribute the partitions evenly over the members that have not expired."""
        now = time.monotonic()
        members = sorted(
            member
            for (name, member), until in self._members.items()
            if name == group and until > now
        )
        assigned = (
            {part: members[part % len(members)] for part in range(_PARTITIONS)}
            if (members)
            else {}
        )
        if self._assignments.get(group) != assigned:
            self._assignments[group] = assigned
            self._generation += 1
        return assigned


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
