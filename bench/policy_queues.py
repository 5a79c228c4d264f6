"""Queues that admission is compared with, and admission behind the same interface."""

import abc
import collections
import random

import policy_simulation
from oleander_admission import admission, work
from oleander_contracts import contract

SLOTS = 4


class Queue(abc.ABC):
    """What stands in front of the slots."""

    @abc.abstractmethod
    def submit(self, item: work.Work) -> bool:
        """Let work in; return whether it was."""

    @abc.abstractmethod
    def take(self) -> work.Work | None:
        """Return the work to run next, if any."""

    @abc.abstractmethod
    def finish(self, item: work.Work, service_ms: float) -> None:
        """Take note of work that ended."""


class FifoQueue(Queue):
    """First come, first served; drops nothing but what does not fit."""

    def __init__(self, places: int) -> None:
        self._places = places
        self._items: collections.deque[work.Work] = collections.deque()

    def submit(self, item: work.Work) -> bool:
        """Let work in while there is a place."""
        if len(self._items) >= self._places:
            return False
        self._items.append(item)
        return True

    def take(self) -> work.Work | None:
        """Return the oldest work."""
        return self._items.popleft() if self._items else None

    def finish(self, item: work.Work, service_ms: float) -> None:
        """Learn nothing from it."""


class StrictQueue(Queue):
    """The most urgent class first, without a floor."""

    def __init__(self, places: int) -> None:
        self._queues = [FifoQueue(places) for _ in contract.Priority]

    def submit(self, item: work.Work) -> bool:
        """Let work in while its class has a place."""
        return self._queues[item.priority].submit(item)

    def take(self) -> work.Work | None:
        """Return the oldest work of the most urgent class."""
        return next((item for queue in self._queues if (item := queue.take())), None)

    def finish(self, item: work.Work, service_ms: float) -> None:
        """Learn nothing from it."""


class OurQueue(Queue):
    """The product's admission."""

    def __init__(self, simulation: policy_simulation.Simulation, places: int) -> None:
        source = random.Random(1)
        self._queue = admission.AdmissionQueue(SLOTS, places, simulation.read_now, source)

    def submit(self, item: work.Work) -> bool:
        """Ask admission."""
        return self._queue.submit(item).is_ok()

    def take(self) -> work.Work | None:
        """Take what goes next."""
        self._queue.take_dropped()
        return self._queue.take(0.0)

    def finish(self, item: work.Work, service_ms: float) -> None:
        """Report the real service time."""
        self._queue.finish(item.work_id, service_ms)
