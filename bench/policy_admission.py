"""Compare admission with simpler queues: shares, starvation and goodput."""

import collections.abc
import dataclasses
import itertools
import random

import policy_queues
import policy_simulation
from oleander_admission import work
from oleander_base import clock
from oleander_contracts import contract

_SHARES = {"a": 50, "b": 30, "c": 20}
_QUEUE_LENGTH = 200
_SHORT_QUEUE_LENGTH = 20
"""A queue of this length takes 250 ms to serve, which is within the shortest deadline."""
_COST_MS = 50.0
_CAPACITY = policy_queues.SLOTS / (_COST_MS / 1000)
"""Requests per second that the slots can serve."""
_STARVATION_SECONDS = 100.0
_SIGMA = 0.5
"""Lognormal sigma of the actual service times around the predicted ones."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stream:
    """Poisson arrivals of one customer's requests of one priority; `rate` is per second."""

    customer: str
    priority: contract.Priority
    rate: float
    budget_ms: float
    cost_ms: float = _COST_MS


@dataclasses.dataclass(slots=True)
class Ended:
    """Work that has ended; `ended_at` is simulated time in seconds."""

    item: work.Work
    service_ms: float
    ended_at: float

    @property
    def is_in_time(self) -> bool:
        """Whether the work ended by its deadline."""
        return self.ended_at <= self.item.deadline.expires_at


class Server:
    """A simulated server: a queue and slots, fed by streams of requests."""

    def __init__(
        self,
        simulation: policy_simulation.Simulation,
        queue: policy_queues.Queue,
        streams: list[Stream],
        seed: int,
    ) -> None:
        self.ended: list[Ended] = []
        self._simulation = simulation
        self._queue = queue
        self._numbers = itertools.count()
        self._running = 0
        self._service = random.Random(seed)
        for index, stream in enumerate(streams):
            self._schedule_arrival(stream, random.Random(seed * 100 + index))

    def _schedule_arrival(self, stream: Stream, source: random.Random) -> None:
        def arrive() -> None:
            deadline = clock.Deadline(self._simulation.now + stream.budget_ms / 1000)
            cost_ms = stream.cost_ms * source.uniform(0.5, 1.5)
            share = _SHARES[stream.customer]
            name = str(next(self._numbers))
            item = work.Work(name, stream.customer, stream.priority, share, cost_ms, deadline)
            self._queue.submit(item)
            self._start_next()
            self._schedule_arrival(stream, source)

        self._simulation.schedule(source.expovariate(stream.rate), arrive)

    def _start_next(self) -> None:
        while self._running < policy_queues.SLOTS:
            item = self._queue.take()
            if item is None:
                return
            self._running += 1
            self._schedule_end(item)

    def _schedule_end(self, item: work.Work) -> None:
        factor = self._service.lognormvariate(-_SIGMA * _SIGMA / 2, _SIGMA)
        service_ms = item.cost_ms * factor

        def end() -> None:
            self._running -= 1
            self._queue.finish(item, service_ms)
            self.ended.append(Ended(item, service_ms, self._simulation.now))
            self._start_next()

        self._simulation.schedule(service_ms / 1000, end)


def _run(
    create: collections.abc.Callable[[policy_simulation.Simulation], policy_queues.Queue],
    streams: list[Stream],
    seconds: float,
    seed: int,
) -> list[Ended]:
    simulation = policy_simulation.Simulation()
    server = Server(simulation, create(simulation), streams, seed)
    simulation.run(seconds)
    return server.ended


def _create_fifo(_: policy_simulation.Simulation) -> policy_queues.Queue:
    return policy_queues.FifoQueue(_QUEUE_LENGTH)


def _create_short(_: policy_simulation.Simulation) -> policy_queues.Queue:
    return policy_queues.FifoQueue(_SHORT_QUEUE_LENGTH)


def _create_strict(_: policy_simulation.Simulation) -> policy_queues.Queue:
    return policy_queues.StrictQueue(_QUEUE_LENGTH)


def _create_ours(simulation: policy_simulation.Simulation) -> policy_queues.Queue:
    return policy_queues.OurQueue(simulation, _QUEUE_LENGTH)


def measure_shares() -> list[policy_simulation.Figure]:
    """Saturate the slots; one customer sends four to six times as much as the others."""
    interactive = contract.Priority.INTERACTIVE
    streams = [
        Stream("a", interactive, 0.75 * _CAPACITY, 10_000),
        Stream("b", interactive, 3.0 * _CAPACITY, 10_000),
        Stream("c", interactive, 0.5 * _CAPACITY, 10_000),
    ]
    baseline = _sum_customers(_run(_create_fifo, streams, 60, 1))
    ours = _sum_customers(_run(_create_ours, streams, 60, 1))
    case = "a shares, FIFO"
    return [
        policy_simulation.Figure(
            case, "largest share error, %", _find_error(baseline), _find_error(ours)
        ),
        policy_simulation.Figure(
            case, "least of its due a customer got, %", _find_least(baseline), _find_least(ours)
        ),
    ]


def _sum_customers(ended: list[Ended]) -> dict[str, float]:
    sums = dict.fromkeys(_SHARES, 0.0)
    for item in ended:
        sums[item.item.customer] += item.service_ms
    total = sum(sums.values())
    return {name: value / total * 100 / _SHARES[name] for name, value in sums.items()}


def _find_error(parts: dict[str, float]) -> float:
    return max(abs(part - 1.0) for part in parts.values()) * 100


def _find_least(parts: dict[str, float]) -> float:
    return min(parts.values()) * 100


def measure_starvation() -> list[policy_simulation.Figure]:
    """Run background work next to interactive work that alone exceeds the capacity."""
    streams = [
        Stream("a", contract.Priority.INTERACTIVE, 1.2 * _CAPACITY, 1_000),
        Stream("c", contract.Priority.BACKGROUND, 0.02 * _CAPACITY, 60_000),
    ]
    baseline = _run(_create_strict, streams, _STARVATION_SECONDS, 2)
    fifo = _run(_create_fifo, streams, _STARVATION_SECONDS, 2)
    ours = _run(_create_ours, streams, _STARVATION_SECONDS, 2)
    measure = "background work ended"
    return [
        policy_simulation.Figure(
            "a starvation, strict", measure, _count_ended(baseline, "c"), _count_ended(ours, "c")
        ),
        policy_simulation.Figure(
            "a starvation, strict",
            "interactive in time, a second",
            _count_in_time(baseline, "a") / _STARVATION_SECONDS,
            _count_in_time(ours, "a") / _STARVATION_SECONDS,
        ),
        policy_simulation.Figure(
            "a starvation, FIFO",
            "interactive in time, a second",
            _count_in_time(fifo, "a") / _STARVATION_SECONDS,
            _count_in_time(ours, "a") / _STARVATION_SECONDS,
        ),
    ]


def _count_ended(ended: list[Ended], customer: str) -> int:
    return sum(1 for item in ended if item.item.customer == customer)


def _count_in_time(ended: list[Ended], customer: str) -> int:
    return sum(1 for item in ended if item.item.customer == customer and item.is_in_time)


def measure_goodput() -> list[policy_simulation.Figure]:
    """Offer one, two and three times the capacity, with deadlines of 0.3 to 1.5 s."""
    figures = []
    for load in (1, 2, 3):
        rate = load * _CAPACITY / 3
        streams = [
            Stream("a", contract.Priority.INTERACTIVE, rate, 300),
            Stream("b", contract.Priority.INTERACTIVE, rate, 600),
            Stream("c", contract.Priority.INTERACTIVE, rate, 1_500),
        ]
        ours = _measure_in_time(_create_ours, streams)
        for name, create in (("FIFO of 200", _create_fifo), ("FIFO of 20", _create_short)):
            figures.append(
                policy_simulation.Figure(
                    f"b load {load}x, {name}",
                    "in time, % of capacity",
                    _measure_in_time(create, streams),
                    ours,
                )
            )
    return figures


def _measure_in_time(
    create: collections.abc.Callable[[policy_simulation.Simulation], policy_queues.Queue],
    streams: list[Stream],
) -> float:
    seconds = 50.0
    ended = _run(create, streams, seconds, 3)
    return sum(1 for item in ended if item.is_in_time) / (seconds * _CAPACITY) * 100
