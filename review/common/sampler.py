"""Stand-ins of the backend servers: a plain service, and a model sampler that streams events."""

import collections
import dataclasses
import json
import threading
import time

from common import http_stand_in, record, store

REQUEST_ID = "X-Oleanderdeal-Attempt-Id"
STAMP = "X-Oleanderdeal-Server-Stamp"
NOT_RUN = "X-Oleanderdeal-Not-Run"
VERSIONS = "X-Oleanderdeal-Weight-Versions"
MODEL = "m0"
_HEARTBEAT_SECONDS = 1.2
_LOAD_SECONDS = 0.9
_POLL_SECONDS = 0.01
_QUEUE = 24


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at a server."""

    request_id: str
    server: str
    number: int
    """Counts the runs at the server, from 1."""
    started_at: float
    last_event_id: int
    ended_at: float | None = None
    events: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    """The data of each event made, and the version that made it."""


class Server(http_stand_in.HttpStandIn):
    """A server of a plain service: answers each call after a fixed time of work."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        platform: store.Store,
        written: record.Record,
        work_seconds: float = 0.02,
    ) -> None:
        """Listen and register."""
        self.name = name
        self.service = service
        self.slots = slots
        self.runs: list[Run] = []
        self._platform = platform
        self._record = written
        self._work_seconds = work_seconds
        self._lock = threading.Condition()
        self._heartbeats = 0
        self._is_alive = True
        super().__init__()
        threading.Thread(target=self._register_repeatedly, daemon=True).start()

    def answer(
        self,
        exchange: http_stand_in.Exchange,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        """Answer one request; one that is meant for another instance gets 421."""
        expected = exchange.headers.get("X-Oleanderdeal-Expect-Instance")
        if expected not in (None, self.name):
            exchange.send(421, headers=(("X-Oleanderdeal-Instance-Id", self.name),))
        elif path == "/health":
            exchange.send(200, headers=(("X-Oleanderdeal-Instance-Id", self.name),))
        else:
            self.serve(exchange, path, body)

    def serve(self, exchange: http_stand_in.Exchange, path: str, body: bytes) -> None:
        """Run a call and answer it."""
        run = self.start_run(exchange)
        time.sleep(self._work_seconds)
        self.end_run(run, "answered 200")
        stamp = f"{self.name}.{run.number}.{run.request_id}"
        exchange.send(200, b"done " + body, ((REQUEST_ID, run.request_id), (STAMP, stamp)))

    def start_run(self, exchange: http_stand_in.Exchange) -> Run:
        """Record that a request begins to run."""
        request_id = exchange.headers.get(REQUEST_ID, "")
        last = int(exchange.headers.get("Last-Event-Id") or 0)
        with self._lock:
            run = Run(request_id, self.name, len(self.runs) + 1, self._record.now, last)
            self.runs.append(run)
        self._record.write(self.name, f"runs {request_id} after event {last}")
        return run

    def end_run(self, run: Run, how: str) -> None:
        """Record that a run has ended."""
        run.ended_at = self._record.now
        self._record.write(self.name, f"ends {run.request_id}: {how}")

    def describe(self) -> dict[str, object]:
        """Return the entry of this server in the platform's store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "chaguanas",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._heartbeats,
        }

    def register(self) -> None:
        """Write the entry of this server."""
        self._heartbeats += 1
        self._platform.put("keyed.servers", self.name, self.describe())

    def _register_repeatedly(self) -> None:
        while self._is_alive:
            self.register()
            time.sleep(_HEARTBEAT_SECONDS)


@dataclasses.dataclass(slots=True)
class Script:
    """What a model sampler makes of one item."""

    events: int
    interval: float
    event_bytes: int = 280
    failure_status: int = 0
    """Status with which every run of the item fails; 0 if it succeeds."""


class ModelSampler(Server):
    """A model sampler: streams events, and loads the weights that it is ordered to load."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        platform: store.Store,
        written: record.Record,
    ) -> None:
        """Start with version 1."""
        self.version = 1
        self.scripts: dict[str, Script] = {}
        self.named_version = 1
        self._accepted_orders = 0
        self._is_loading = False
        self._active = 0
        self._queued = 0
        self._crash_count = 0
        self.copied_refusals: collections.deque[bytes] = collections.deque()
        super().__init__(name, service, slots, platform, written)

    @property
    def is_loading(self) -> bool:
        """Whether an order is in progress."""
        return self._is_loading

    def describe(self) -> dict[str, object]:
        """Return the entry of this server, with its models."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return super().describe() | {"stage": "both", "models": models}

    def serve(self, exchange: http_stand_in.Exchange, path: str, body: bytes) -> None:
        """Answer a report, an order or an item."""
        if path == "/api/report":
            exchange.send_json(self._describe_state())
        elif path == "/api/order":
            self._take_order(exchange, json.loads(body))
        else:
            self._serve_item(exchange)

    def crash(self) -> None:
        """End all runs and refuse connections until `restart`."""
        self._is_alive = False
        with self._lock:
            self._crash_count += 1
            self._lock.notify_all()
        self._record.write(self.name, "crashes")
        super().crash()

    def refuse(self, exchange: http_stand_in.Exchange, request_id: str) -> None:
        """Answer that a request was not run."""
        self._record.write(self.name, f"refuses {request_id} with 503, not run")
        exchange.send(503, headers=((REQUEST_ID, request_id), (NOT_RUN, "1")))

    def _describe_state(self) -> dict[str, object]:
        return {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": self._is_loading,
            "sequence": self._accepted_orders,
            "queued": self._queued,
            "inflight": self._active,
            "kv_used": 0,
            "kv_total": 102_009,
            "handles": 0,
        }

    def _take_order(self, exchange: http_stand_in.Exchange, order: dict[str, object]) -> None:
        with self._lock:
            status = self._judge_order(order)
            if status == 202:
                self._accepted_orders += 1
                self._is_loading = True
        self._record.write(self.name, f"order {order} gets {status}")
        if status == 202:
            loader = threading.Thread(target=self._load, args=(order,), daemon=True)
            loader.start()
        exchange.send(status)

    def _judge_order(self, order: dict[str, object]) -> int:
        version = order.get("version")
        if not isinstance(version, int) or version > self.named_version:
            return 400
        if self._is_loading or order.get("expected", self._accepted_orders) != (
            self._accepted_orders
        ):
            return 409
        return 200 if version <= self.version else 202

    def _load(self, order: dict[str, object]) -> None:
        """Load a version; with `hold` the runs in progress finish first."""
        crash_count = self._crash_count
        with self._lock:
            while order.get("mode") == "hold" and self._active:
                self._lock.wait()
        time.sleep(_LOAD_SECONDS)
        if self._crash_count > crash_count:
            return
        self.version = int(str(order["version"]))
        self._is_loading = False
        self._record.write(self.name, f"has loaded version {self.version}")
        self.register()

    def _serve_item(self, exchange: http_stand_in.Exchange) -> None:
        request_id = exchange.headers.get(REQUEST_ID, "")
        if not self._take_slot(exchange):
            self.refuse(exchange, request_id)
            return
        try:
            self._run_item(exchange, self.scripts[request_id])
        finally:
            with self._lock:
                self._active -= 1
                self._lock.notify_all()

    def _take_slot(self, exchange: http_stand_in.Exchange) -> bool:
        """Wait for a slot; return False if the request is refused before it runs."""
        with self._lock:
            if self._is_loading or self._queued >= _QUEUE:
                return False
            self._queued += 1
            while self._active >= self.slots and not self._is_loading:
                self._lock.wait(_POLL_SECONDS)
                if exchange.is_client_gone:
                    break
            self._queued -= 1
            if self._is_loading or exchange.is_client_gone:
                return False
            self._active += 1
            return True

    def _run_item(self, exchange: http_stand_in.Exchange, script: Script) -> None:
        run = self.start_run(exchange)
        crash_count = self._crash_count
        stamp = f"{self.name}.{run.number}.{run.request_id}"
        headers = ((REQUEST_ID, run.request_id), (STAMP, stamp))
        if script.failure_status:
            time.sleep(script.interval)
            self.end_run(run, f"answered {script.failure_status}")
            exchange.send(script.failure_status, b"", headers)
            return
        try:
            self._stream(exchange, run, script, headers)
        except OSError:
            pass
        else:
            if run.ended_at is not None:
                return
        how = "crashed" if self._crash_count > crash_count else "its connection was closed"
        self.end_run(run, f"{how} after event {run.last_event_id + len(run.events)}")
        exchange.close_connection = True

    def _stream(
        self,
        exchange: http_stand_in.Exchange,
        run: Run,
        script: Script,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        """Stream the events after the last one that the caller has."""
        is_started = False
        crash_count = self._crash_count
        for number in range(run.last_event_id + 1, script.events + 1):
            time.sleep(script.interval)
            if exchange.is_client_gone or self._crash_count > crash_count:
                return
            if not is_started:
                is_started = True
                _start_stream(exchange, (*headers, (VERSIONS, str(self.version))))
            data = build_event(run.request_id, number, script.event_bytes)
            run.events.append((data, self.version))
            exchange.wfile.write(_encode_chunk(f"id: {number}\ndata: {data}\n\n".encode()))
        if not is_started:
            _start_stream(exchange, (*headers, (VERSIONS, str(self.version))))
        exchange.wfile.write(b"0\r\n\r\n")
        self.end_run(run, f"whole, version {self.version}")


def build_event(request_id: str, number: int, size: int) -> str:
    """Return the data of an event, the same whichever sampler makes it."""
    head = f"{request_id}.{number}."
    return head + "x" * max(0, size - len(head))


def _start_stream(exchange: http_stand_in.Exchange, headers: tuple[tuple[str, str], ...]) -> None:
    exchange.send_response(200)
    for name, value in (*headers, ("Content-Type", "text/event-stream")):
        exchange.send_header(name, value)
    exchange.send_header("Transfer-Encoding", "chunked")
    exchange.end_headers()


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
