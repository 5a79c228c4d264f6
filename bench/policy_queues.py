"""Baseline queues, and the product's admission queue behind the same interface."""

import abc
import collections
import random

import policy_simulation
from oleander_admission import admission, work
from oleander_contracts import contract

SLOTS = 4


class Queue(abc.ABC):
    """A queue of work waiting for a slot."""

    @abc.abstractmethod
    def submit(self, item: work.Work) -> bool:
        """Queue work; return False if it was refused."""

    @abc.abstractmethod
    def take(self) -> work.Work | None:
        """Return the work to run next, if any."""

    @abc.abstractmethod
    def finish(self, item: work.Work, service_ms: float) -> None:
        """Record that work ended."""


class FifoQueue(Queue):
    """First in, first out; refuses work only if the queue is full."""

    def __init__(self, places: int) -> None:
        self._places = places
        self._items: collections.deque[work.Work] = collections.deque()

    def submit(self, item: work.Work) -> bool:
        """Queue work unless the queue is full."""
        if len(self._items) >= self._places:
            return False
        self._items.append(item)
        return True

    def take(self) -> work.Work | None:
        """Return the oldest work, or None."""
        return self._items.popleft() if self._items else None

    def finish(self, item: work.Work, service_ms: float) -> None:
        """Do nothing: service times do not affect this queue."""


class StrictQueue(Queue):
    """Strict priorities: the most urgent class first, with no minimum for the others."""

    def __init__(self, places: int) -> None:
        self._queues = [FifoQueue(places) for _ in contract.Priority]

    def submit(self, item: work.Work) -> bool:
        """Queue work unless the queue of its class is full."""
        return self._queues[item.priority].submit(item)

    def take(self) -> work.Work | None:
        """Return the oldest work of the most urgent class that has work, or None."""
        return next((item for queue in self._queues if (item := queue.take())), None)

    def finish(self, item: work.Work, service_ms: float) -> None:
        """Do nothing: service times do not affect this queue."""


class OurQueue(Queue):
    """The product's admission queue."""

    def __init__(self, simulation: policy_simulation.Simulation, places: int) -> None:
        source = random.Random(1)
        self._queue = admission.AdmissionQueue(SLOTS, places, simulation.read_now, source)

    def submit(self, item: work.Work) -> bool:
        """Submit work to the admission queue."""
        return self._queue.submit(item).is_ok()

    def take(self) -> work.Work | None:
        """Return the next work, after discarding work that was dropped."""
        self._queue.take_dropped()
        return self._queue.take(0.0)

    def finish(self, item: work.Work, service_ms: float) -> None:
        """Report the actual service time to the admission queue."""
        self._queue.finish(item.work_id, service_ms)
