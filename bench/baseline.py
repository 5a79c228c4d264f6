"""
The baseline proxy: delayed least-loaded routing, FIFO queues and immediate retries.

It calls the backend servers directly, ignores priorities, shares, deadlines and keys, and retries
after any failure. It is not part of the product and runs as `python -m baseline`.
"""

import collections
import concurrent.futures
import dataclasses
import http.client
import json
import threading
import typing

from oleander_standins import client, server

_REPORT_SECONDS = 0.3
_MAX_ATTEMPTS = 3
_QUEUE_TIMEOUT_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class Settings(server.Settings):
    """The backend servers and the operations that they serve."""

    backends: str = "{}"
    """JSON: group name to `{"kind", "slots", "urls": [...]}`."""
    operations: str = "{}"
    """JSON: operation name to `{"backend", "timeout_ms"}`."""


class Queue:
    """The slots of a backend server, assigned in order of arrival, with a limit on the wait."""

    def __init__(self, url: str, slots: int) -> None:
        self.url = url
        self.reported = 0
        self._free = slots
        self._load = 0
        self._lock = threading.Lock()
        self._waiting: collections.deque[concurrent.futures.Future[None]] = collections.deque()

    @property
    def load(self) -> int:
        """How many requests are queued or running."""
        return self._load

    def enter(self) -> bool:
        """Wait for a slot; return False if none became free in time."""
        turn: concurrent.futures.Future[None] = concurrent.futures.Future()
        with self._lock:
            self._load += 1
            if self._free:
                self._free -= 1
                return True
            self._waiting.append(turn)
        concurrent.futures.wait([turn], _QUEUE_TIMEOUT_SECONDS)
        with self._lock:
            if not turn.done():
                self._waiting.remove(turn)
                self._load -= 1
            return turn.done()

    def leave(self) -> None:
        """Pass the slot on to the request that has waited longest."""
        with self._lock:
            self._load -= 1
            if self._waiting:
                self._waiting.popleft().set_result(None)
            else:
                self._free += 1


class Baseline(server.StandIn[Settings]):
    """Serves the entry's path for calls of operations."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self._operations = json.loads(settings.operations)
        self._kinds = {}
        self._groups: dict[str, list[Queue]] = {}
        for name, group in json.loads(settings.backends).items():
            self._kinds[name] = group["kind"]
            self._groups[name] = [Queue(url, group["slots"]) for url in group["urls"]]
        self._retries = 0
        self._ended = threading.Event()
        threading.Thread(target=self._report, daemon=True).start()

    def answer(self, exchange: server.Exchange) -> None:
        """Run one request, with up to two retries."""
        match exchange.route:
            case ("POST", "v1", "customers", _, "operations", operation):
                status, body = self._run(operation, exchange)
                exchange.send_bytes(status, body, {"Content-Type": "application/json"})
            case _:
                exchange.send_json(404, {"reason": "no such path"})

    def count(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the number of retries and of requests that are queued or running."""
        load = sum(item.load for queues in self._groups.values() for item in queues)
        return {"retries": self._retries, "load": load}

    def _report(self) -> None:
        while not self._ended.wait(_REPORT_SECONDS):
            for queues in self._groups.values():
                for item in queues:
                    item.reported = item.load

    def _run(self, operation: str, exchange: server.Exchange) -> tuple[int, bytes]:
        terms = self._operations[operation]
        queues = self._groups[terms["backend"]]
        tried: list[Queue] = []
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                with self.changed:
                    self._retries += 1
            left = [item for item in queues if item not in tried] or queues
            chosen = min(left, key=lambda item: item.reported)
            tried.append(chosen)
            if not chosen.enter():
                continue
            try:
                return self._call(chosen, operation, terms, exchange)
            except (OSError, ValueError, http.client.HTTPException):
                continue
            finally:
                chosen.leave()
        return 502, b'{"outcome": "unknown", "reason": "attempts-used-up"}'

    def _call(
        self, queue: Queue, operation: str, terms: dict[str, typing.Any], exchange: server.Exchange
    ) -> tuple[int, bytes]:
        timeout = terms["timeout_ms"] / 1000
        if self._kinds[terms["backend"]] == "engine":
            content = {"request_id": exchange.headers["Trace-Id"], "priority": 1}
            body = json.dumps(exchange.read_object() | content).encode()
            answer = client.call("POST", f"{queue.url}/v1/generate", body, {}, timeout)
            return _read_generation(answer)
        headers = {"Idempotency-Key": exchange.headers.get("Idempotency-Key", "")}
        url = f"{queue.url}/call/{operation}"
        answer = client.call("POST", url, exchange.body, headers, timeout)
        if answer.status >= 500:
            raise ValueError(answer.status)
        return answer.status, answer.body


def _read_generation(answer: client.Response) -> tuple[int, bytes]:
    """Return status and JSON of a generation; raise ValueError if its stream is incomplete."""
    pieces = [json.loads(line) for line in answer.body.splitlines()]
    if answer.status != 200 or not pieces or not pieces[-1].get("last"):
        raise ValueError(answer.status)
    versions = sorted({piece.get("version", -1) for piece in pieces})
    label = [{"version": version} for version in versions]
    text = "".join(piece["text"] for piece in pieces)
    return 200, json.dumps({"text": text, "label": label}).encode()


if __name__ == "__main__":
    server.run_program(Settings(), Baseline)
