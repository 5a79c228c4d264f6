"""Open-loop callers on a bounded thread pool; a seed fixes when each request is sent."""

import collections
import concurrent.futures
import dataclasses
import http.client
import json
import random
import threading
import time
import typing

import hdrh.histogram

from oleander_standins import client

_MAX_THREADS = 300
_MAX_RECORDED_MS = 120_000
_GRACE_SECONDS = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Flow:
    """A kind of request; `worth` is its weight in the offered load and in the goodput."""

    customer: str
    operation: str
    per_second: float
    timeout_ms: int
    worth: int
    is_interactive: bool
    repeatable: bool = True
    max_tokens: int = 0
    """Length of the generation; 0 for calls of a plain service."""
    prefixes: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Behaviour:
    """How callers behave beyond sending each request once."""

    tickets: bool = False
    """Keys of at-most-once requests are issued by the entry before the load."""
    retries: int = 0
    """How often a caller retries immediately after a failure."""


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A planned request; `at` is in seconds after the start."""

    at: float
    number: int
    flow: Flow
    url: str
    body: bytes
    key: str = ""


class Tally:
    """Outcomes and latencies as seen by the callers."""

    def __init__(self) -> None:
        self.offered_worth = 0
        self.good_worth = 0
        self.sent = 0
        self.again = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        self._interactive = hdrh.histogram.HdrHistogram(1, _MAX_RECORDED_MS, 3)

    def record(self, flow: Flow, outcome: str, taken_ms: float, again: int) -> None:
        """Record a request that ended; an answer after the deadline has no worth."""
        with self._lock:
            self.sent += 1
            self.again += again
            self.offered_worth += flow.worth
            is_late = outcome == "done" and taken_ms > flow.timeout_ms
            self.outcomes[f"{flow.operation} {'late' if is_late else outcome}"] += 1
            if outcome == "done" and not is_late:
                self.good_worth += flow.worth
            if outcome == "done" and flow.is_interactive:
                self._interactive.record_value(max(1, min(_MAX_RECORDED_MS, int(taken_ms))))

    def read_percentile(self, percentile: float) -> int:
        """Return a latency percentile of answered interactive requests, in milliseconds."""
        return int(self._interactive.get_value_at_percentile(percentile))


def plan_arrivals(
    flows: tuple[Flow, ...], urls: list[str], seconds: float, seed: int
) -> list[Arrival]:
    """Return the Poisson arrivals of all flows in order of time."""
    source = random.Random(seed)
    arrivals = []
    for index, flow in enumerate(flows):
        at = source.expovariate(flow.per_second)
        while at < seconds:
            number = len(arrivals)
            path = f"/v1/customers/{flow.customer}/operations/{flow.operation}"
            body: dict[str, typing.Any] = {"number": number}
            if flow.max_tokens:
                prefix = f"{flow.operation}-{source.randrange(flow.prefixes)}"
                body = {"prompt": f"{index}-{number}", "prefix": prefix}
                body["max_tokens"] = flow.max_tokens
            url = urls[number % len(urls)] + path
            arrivals.append(Arrival(at, number, flow, url, json.dumps(body).encode()))
            at += source.expovariate(flow.per_second)
    return sorted(arrivals, key=lambda item: item.at)


class Callers:
    """Sends each planned request at its time, however slow the answers are."""

    def __init__(self, name: str, behaviour: Behaviour) -> None:
        self._name = name
        self._behaviour = behaviour
        self.tally = Tally()

    def prepare(self, arrivals: list[Arrival]) -> list[Arrival]:
        """Give keys to at-most-once requests; keys issued by the entry are requested here."""
        return [
            dataclasses.replace(item, key=self._create_key(item))
            if not item.flow.repeatable
            else item
            for item in arrivals
        ]

    def run(self, arrivals: list[Arrival]) -> None:
        """Send all requests and wait until the last has ended."""
        started = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
            for item in arrivals:
                time.sleep(max(0.0, started + item.at - time.monotonic()))
                pool.submit(self._send, item, started + item.at)

    def _create_key(self, item: Arrival) -> str:
        if not self._behaviour.tickets:
            return f"{self._name}-{item.number}"
        answer = client.call("POST", f"{item.url}/keys", None, _write_headers(item, ""), 5.0)
        return str(answer.read_json()["key"])

    def _send(self, item: Arrival, due: float) -> None:
        give_up_at = due + item.flow.timeout_ms / 1000
        again = 0
        while True:
            outcome = self._call(item, give_up_at)
            is_over = again >= self._behaviour.retries or time.monotonic() >= give_up_at
            if outcome == "done" or is_over:
                break
            again += 1
        self.tally.record(item.flow, outcome, (time.monotonic() - due) * 1000, again)

    def _call(self, item: Arrival, give_up_at: float) -> str:
        left = give_up_at - time.monotonic()
        if left <= 0:
            return "caller-too-late"
        headers = _write_headers(item, f"{self._name}-{item.number}")
        headers["Request-Timeout-Ms"] = str(max(1, int(left * 1000)))
        try:
            answer = client.call("POST", item.url, item.body, headers, left + _GRACE_SECONDS)
        except (OSError, http.client.HTTPException):
            return "no-answer"
        if answer.status == 200:
            return "done"
        problem = answer.read_json()
        return f"{problem.get('outcome')}:{problem.get('reason')}"


def _write_headers(item: Arrival, trace_id: str) -> dict[str, str]:
    headers = {"Authorization": f"Bearer token-of-{item.flow.customer}"}
    if trace_id:
        headers["Trace-Id"] = trace_id
    if item.key:
        headers["Idempotency-Key"] = item.key
    return headers
