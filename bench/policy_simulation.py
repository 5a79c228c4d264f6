"""A discrete-event simulation with simulated time, and its figures."""

import collections.abc
import dataclasses
import heapq


@dataclasses.dataclass(slots=True, frozen=True)
class Figure:
    """A figure of a baseline and of the product."""

    case: str
    measure: str
    baseline: float
    ours: float

    @property
    def ratio(self) -> float:
        """The product's figure divided by the baseline's; infinite if that is 0."""
        return self.ours / self.baseline if self.baseline else float("inf")


class Simulation:
    """Runs callbacks in order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._sequence = 0

    def read_now(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def schedule(self, seconds: float, callback: collections.abc.Callable[[], None]) -> None:
        """Run a callback `seconds` from now."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + seconds, self._sequence, callback))

    def run(self, until: float) -> None:
        """Run all callbacks up to a simulated time, inclusive."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


def find_quantile(values: list[float], part: float) -> float:
    """Return a quantile; `part` is between 0 and 1; 0.0 without values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(part * len(ranked)))] if ranked else 0.0


def find_mean(values: list[float]) -> float:
    """Return the mean, or 0.0 without values."""
    return sum(values) / len(values) if values else 0.0
