"""Simulate a retry storm: whether a backend recovers after it was slow for a while."""

import collections
import dataclasses
import random

import policy_simulation
from oleander_routing import retries

_RATE = 80.0
_SERVICE_SECONDS = 0.01
"""Service time of the only server; `_RATE` is four fifths of its capacity."""
_TIMEOUT_SECONDS = 1.0
_MAX_RETRIES = 3
_SLOW_FROM = 20.0
_SLOW_UNTIL = 30.0
_SLOW_FACTOR = 4.0
_END = 122.0
_BASE_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 1000


@dataclasses.dataclass(slots=True)
class _Request:
    """A request and the number of its attempts."""

    started_at: float
    tries: int = 0
    answered: bool = False


class _Storm:
    """Callers that retry at a server that also serves requests whose callers gave up."""

    def __init__(self, budget: retries.RetryBudget | None) -> None:
        self.requests: list[_Request] = []
        self._budget = budget
        self._simulation = policy_simulation.Simulation()
        self._source = random.Random(7)
        self._waiting: collections.deque[tuple[_Request, float]] = collections.deque()
        self._is_busy = False

    def run(self) -> None:
        """Run the simulation to its end."""
        self._schedule_arrival()
        self._simulation.run(_END)

    def count_tries(self, since: float, until: float) -> float:
        """Return the mean number of attempts of the requests started in a period."""
        inside = [item for item in self.requests if since <= item.started_at < until]
        return sum(item.tries for item in inside) / len(inside)

    def count_answered(self, since: float, until: float) -> float:
        """Return the percentage of the requests started in a period that were answered."""
        inside = [item for item in self.requests if since <= item.started_at < until]
        return sum(1 for item in inside if item.answered) / len(inside) * 100

    def _schedule_arrival(self) -> None:
        self._simulation.schedule(self._source.expovariate(_RATE), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        request = _Request(self._simulation.now)
        self.requests.append(request)
        if self._budget is not None:
            self._budget.record_first_attempt()
        self._send(request)

    def _send(self, request: _Request) -> None:
        request.tries += 1
        tried = request.tries
        self._waiting.append((request, self._simulation.now))
        self._start_next()
        self._simulation.schedule(_TIMEOUT_SECONDS, lambda: self._give_up(request, tried))

    def _give_up(self, request: _Request, tried: int) -> None:
        if request.answered or tried > _MAX_RETRIES:
            return
        if self._budget is not None and not self._budget.try_spend():
            return
        wait_ms = retries.compute_backoff(
            tried - 1, _BASE_BACKOFF_MS, _MAX_BACKOFF_MS, self._source
        )
        self._simulation.schedule(wait_ms / 1000, lambda: self._send(request))

    def _start_next(self) -> None:
        if self._is_busy or not self._waiting:
            return
        self._is_busy = True
        request, sent_at = self._waiting.popleft()
        is_slow = _SLOW_FROM <= self._simulation.now < _SLOW_UNTIL
        seconds = _SERVICE_SECONDS * (_SLOW_FACTOR if is_slow else 1.0)

        def end() -> None:
            self._is_busy = False
            if self._simulation.now - sent_at <= _TIMEOUT_SECONDS:
                request.answered = True
            self._start_next()

        self._simulation.schedule(seconds, end)


def measure_storm() -> list[policy_simulation.Figure]:
    """Slow the server to a quarter of its speed for ten seconds at 80% load."""
    baseline = _Storm(None)
    baseline.run()
    ours = _Storm(retries.RetryBudget(10, 10))
    ours.run()
    case = "f retry storm, no budget"
    return [
        policy_simulation.Figure(
            case,
            "tries a request, fault and 30 s on",
            baseline.count_tries(_SLOW_FROM, _SLOW_UNTIL + 30),
            ours.count_tries(_SLOW_FROM, _SLOW_UNTIL + 30),
        ),
        policy_simulation.Figure(
            case,
            "answered 30 to 60 s after it, %",
            baseline.count_answered(_SLOW_UNTIL + 30, _SLOW_UNTIL + 60),
            ours.count_answered(_SLOW_UNTIL + 30, _SLOW_UNTIL + 60),
        ),
        policy_simulation.Figure(
            case,
            "answered 60 to 90 s after it, %",
            baseline.count_answered(_SLOW_UNTIL + 60, _SLOW_UNTIL + 90),
            ours.count_answered(_SLOW_UNTIL + 60, _SLOW_UNTIL + 90),
        ),
    ]
