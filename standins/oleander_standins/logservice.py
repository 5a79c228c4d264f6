"""A stand-in for the platform's log: streams of records in memory, with injected faults."""

import collections
import dataclasses
import json
import math
import threading
import time
import typing

from oleander_standins import server

_MAX_STREAMS = 1000
_MAX_RECORDS_PER_READ = 500
_MAX_WAIT_MS = 30_000


@dataclasses.dataclass(slots=True)
class Settings(server.Settings):
    """The limits of the service and the faults to inject."""

    retention: int = 100_000
    """Number of newest records kept in each stream."""
    appends_per_second: int = 0
    """Appends above this rate are answered 429; 0 sets no limit."""
    lose_before: int = 0
    """How many of the next appends have no effect and get no answer."""
    lose_after: int = 0
    """How many of the next appends take effect but get no answer."""
    late: int = 0
    """How many of the next appends get no answer and take effect after `late_ms`."""
    late_ms: int = 1000


class _Stream:
    """The newest records of a stream, each stored as JSON text; the oldest are evicted."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.next_offset = 0
        self._records: collections.deque[str] = collections.deque()

    @property
    def first_offset(self) -> int:
        """The offset of the oldest record kept."""
        return self.next_offset - len(self._records)

    def append(self, values: list[typing.Any], retention: int) -> int:
        """Append records atomically; return the offset of the first."""
        now_ms = int(time.time() * 1000)
        with self.changed:
            first = self.next_offset
            for value in values:
                record = {"offset": self.next_offset, "logged_at_ms": now_ms, "value": value}
                self._records.append(json.dumps(record))
                self.next_offset += 1
            while len(self._records) > retention:
                self._records.popleft()
            self.changed.notify_all()
        return first

    def delete(self, offset: int) -> None:
        """Delete the records below an offset."""
        with self.changed:
            while self._records and self.first_offset < offset:
                self._records.popleft()

    def read(self, offset: int, limit: int, wait_ms: int) -> bytes:
        """Return a page of records as JSON, after waiting up to `wait_ms` for the first record."""
        with self.changed:
            self.changed.wait_for(lambda: self.next_offset > offset, wait_ms / 1000)
            first_offset = self.first_offset
            start = max(offset, first_offset)
            stop = min(start + limit, self.next_offset)
            records = [self._records[index - first_offset] for index in range(start, stop)]
            next_offset = self.next_offset
        return (
            f'{{"records": [{", ".join(records)}], '
            f'"first_offset": {first_offset}, "next_offset": {next_offset}}}'
        ).encode()


class LogService(server.StandIn[Settings]):
    """Serves streams, created on first use; above a thousand, a new one is answered 400."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self._streams: dict[str, _Stream] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._bucket_level = math.inf
        self._bucket_refilled_at = time.monotonic()

    def answer(self, exchange: server.Exchange) -> None:
        """Route a request to append to or read from a stream."""
        match exchange.route:
            case ("POST", "streams", name, "records"):
                self._answer_append(exchange, name)
            case ("GET", "streams", name, "records"):
                self._answer_read(exchange, name)
            case _:
                exchange.send_json(404, {"reason": "no such path"})

    def count(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the counters and the next and first offset of each stream."""
        streams = self._streams.items()
        return {
            "appends": self._counts["appends"],
            "reads": self._counts["reads"],
            "limited": self._counts["limited"],
            "records": {name: stream.next_offset for name, stream in streams},
            "first_offsets": {name: stream.first_offset for name, stream in streams},
        }

    def command(self, name: str, value: typing.Any) -> bool:
        """Delete records on `delete`, whose value has an offset for each stream."""
        if name != "delete":
            return False
        for stream, offset in dict(value).items():
            self._streams[stream].delete(offset)
        return True

    def _answer_append(self, exchange: server.Exchange, name: str) -> None:
        values = exchange.read_object().get("records")
        stream = self._find_stream(name)
        if stream is None or not isinstance(values, list) or not values:
            exchange.send_json(400, {"reason": "no records, or too many streams"})
        elif not self._admit_append():
            exchange.send_json(429, {"reason": "rate"}, retry_after_seconds=1)
        elif self.take("lose_before"):
            exchange.drop()
        elif self.take("late"):
            self._append_late(stream, values)
            exchange.drop()
        else:
            first = self._append(stream, values)
            if self.take("lose_after"):
                exchange.drop()
            else:
                exchange.send_json(200, {"first_offset": first, "count": len(values)})

    def _append_late(self, stream: _Stream, values: list[typing.Any]) -> None:
        timer = threading.Timer(self.settings.late_ms / 1000, self._append, (stream, values))
        timer.daemon = True
        timer.start()

    def _append(self, stream: _Stream, values: list[typing.Any]) -> int:
        with self.changed:
            self._counts["appends"] += 1
        return stream.append(values, self.settings.retention)

    def _answer_read(self, exchange: server.Exchange, name: str) -> None:
        with self.changed:
            self._counts["reads"] += 1
        stream = self._find_stream(name)
        if stream is None:
            exchange.send_json(400, {"reason": "too many streams"})
            return
        offset = _read_number(exchange, "offset", 0)
        limit = min(_read_number(exchange, "limit", _MAX_RECORDS_PER_READ), _MAX_RECORDS_PER_READ)
        wait_ms = min(_read_number(exchange, "wait_ms", 0), _MAX_WAIT_MS)
        body = stream.read(offset, limit, wait_ms)
        exchange.send_bytes(200, body, {"Content-Type": "application/json"})

    def _find_stream(self, name: str) -> _Stream | None:
        with self.changed:
            if name not in self._streams and len(self._streams) < _MAX_STREAMS:
                self._streams[name] = _Stream()
            return self._streams.get(name)

    def _admit_append(self) -> bool:
        rate = self.settings.appends_per_second
        if rate == 0:
            return True
        with self.changed:
            now = time.monotonic()
            refilled = self._bucket_level + (now - self._bucket_refilled_at) * rate
            self._bucket_level = min(refilled, float(rate))
            self._bucket_refilled_at = now
            if self._bucket_level < 1.0:
                self._counts["limited"] += 1
                return False
            self._bucket_level -= 1.0
            return True


def _read_number(exchange: server.Exchange, name: str, default: int) -> int:
    text = exchange.query.get(name, "")
    return int(text) if text.isdigit() else default


def main() -> None:
    """Run the log stand-in."""
    server.run_program(Settings(), LogService)


if __name__ == "__main__":
    main()
