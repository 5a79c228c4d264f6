"""Predictions of sample lengths and generation rates, learned while a step runs."""

import bisect
import collections

_MAX_STEP_LENGTHS = 512
"""Window size, in finished samples, for the lengths of a step."""
_MAX_GROUP_LENGTHS = 32
"""Window size, in finished samples, for the lengths of a group."""
_MAX_RATES = 256
"""Window size, in finished attempts, for rates and for waits."""
_STEP_WEIGHT = 4
"""The step's median length counts as much as this number of finished samples of the group."""
_UNSEEN_LENGTH_FACTOR = 2
"""A sample longer than all finished ones is predicted to reach this multiple of its present
length."""


class SlidingWindow:
    """The most recent values in sorted order; beyond the capacity the oldest is evicted."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    @property
    def count(self) -> int:
        """The number of values in the window."""
        return len(self._sorted)

    def add(self, value: float) -> None:
        """Add a value, evicting the oldest one if the window is full."""
        if len(self._recent) >= self._capacity:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(value)
        bisect.insort(self._sorted, value)

    def find_median_above(self, floor: float) -> float | None:
        """Return the median of the values greater than `floor`, or None if there are none."""
        first = bisect.bisect_right(self._sorted, floor)
        above = len(self._sorted) - first
        return self._sorted[first + above // 2] if above else None


class LengthModel:
    """Predicts a sample's length in tokens from the finished samples of its group and step."""

    def __init__(self, max_tokens: list[int], expected_tokens: list[int] | None = None) -> None:
        """Create a model from each group's maximum and the trainer's estimate (0 for none)."""
        self._max_tokens = max_tokens
        self._expected_tokens = expected_tokens or [0] * len(max_tokens)
        self._step = SlidingWindow(_MAX_STEP_LENGTHS)
        self._groups: dict[int, SlidingWindow] = {}
        self._total = 0
        self._count = 0

    @property
    def mean(self) -> float:
        """The mean length of all finished samples; 0 before the first."""
        return self._total / self._count if self._count else 0.0

    def record_length(self, group: int, tokens: int) -> None:
        """Record the length of a finished sample."""
        self._total += tokens
        self._count += 1
        self._step.add(tokens)
        self._groups.setdefault(group, SlidingWindow(_MAX_GROUP_LENGTHS)).add(tokens)

    def predict_unstarted(self, group: int) -> int:
        """
        Return the predicted length of a sample that is not started yet.

        Until a sample of the group has finished, the prediction is the trainer's estimate, or the
        group's maximum if there is no estimate.
        """
        if group not in self._groups and self._expected_tokens[group]:
            return min(self._max_tokens[group], self._expected_tokens[group])
        if group not in self._groups:
            return self._max_tokens[group]
        return self.predict_total(group, 0)

    def predict_total(self, group: int, generated: int) -> int:
        """Return the predicted length of a sample of which `generated` tokens exist."""
        limit = self._max_tokens[group]
        if group not in self._groups and generated < self._expected_tokens[group]:
            return min(limit, self._expected_tokens[group])
        if self._step.count == 0:
            return max(limit, generated)
        expected = self._find_expected(group, generated)
        return max(generated, min(limit, int(expected)))

    def _find_expected(self, group: int, generated: int) -> float:
        """Return the weighted median length of finished samples longer than `generated`."""
        of_step = self._step.find_median_above(generated)
        if of_step is None:
            return _UNSEEN_LENGTH_FACTOR * generated
        known = self._groups.get(group)
        of_group = known.find_median_above(generated) if known else None
        if known is None or of_group is None:
            return of_step
        weighted = of_group * known.count + of_step * _STEP_WEIGHT
        return weighted / (known.count + _STEP_WEIGHT)


class RateModel:
    """The typical time to the first token of an attempt and its typical rate after that."""

    def __init__(self) -> None:
        self._rates = SlidingWindow(_MAX_RATES)
        self._waits = SlidingWindow(_MAX_RATES)

    @property
    def typical_rate(self) -> float | None:
        """The median rate of finished work in tokens per second; None before any has finished."""
        return self._rates.find_median_above(0.0)

    @property
    def typical_wait_seconds(self) -> float:
        """The median time to the first token of finished work; 0 before any has finished."""
        return self._waits.find_median_above(-1.0) or 0.0

    def record_work(self, rate: float | None, wait_seconds: float | None) -> None:
        """Record the rate and the time to the first token of finished work, if known."""
        if rate:
            self._rates.add(rate)
        if wait_seconds is not None:
            self._waits.add(wait_seconds)
