"""Simulated time, and the figures that a simulation gives."""

import collections.abc
import dataclasses
import heapq


@dataclasses.dataclass(slots=True, frozen=True)
class Figure:
    """One measure of a baseline and of ours."""

    case: str
    measure: str
    baseline: float
    ours: float

    @property
    def ratio(self) -> float:
        """Ours to the baseline."""
        return self.ours / self.baseline if self.baseline else float("inf")


class Simulation:
    """Runs callbacks in order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._sequence = 0

    def read_now(self) -> float:
        """Return simulated seconds."""
        return self.now

    def schedule(self, seconds: float, callback: collections.abc.Callable[[], None]) -> None:
        """Run a callback so long from now."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + seconds, self._sequence, callback))

    def run(self, until: float) -> None:
        """Run all callbacks before a moment."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


def find_quantile(values: list[float], part: float) -> float:
    """Return the value below which a part of all values is."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(part * len(ranked)))] if ranked else 0.0


def find_mean(values: list[float]) -> float:
    """Return the mean, or 0 of nothing."""
    return sum(values) / len(values) if values else 0.0
