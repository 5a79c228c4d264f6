"""How long samples will be and how fast they are made, learned while a step runs."""

import bisect
import collections

_MAX_STEP_LENGTHS = 512
_MAX_GROUP_LENGTHS = 32
_MAX_RATES = 256
_STEP_WEIGHT = 4
"""The step's lengths count as much as so many finished samples of the group."""
_UNSEEN_LENGTH_FACTOR = 2
"""A sample longer than all seen is taken to reach this times its present length."""


class SlidingWindow:
    """The latest values, sorted; beyond the bound the oldest is forgotten."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    @property
    def count(self) -> int:
        """How many values are known."""
        return len(self._sorted)

    def add(self, value: float) -> None:
        """Take in a value."""
        if len(self._recent) >= self._capacity:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(value)
        bisect.insort(self._sorted, value)

    def find_median_above(self, floor: float) -> float | None:
        """Return the median of the values above a floor, if there are any."""
        first = bisect.bisect_right(self._sorted, floor)
        above = len(self._sorted) - first
        return self._sorted[first + above // 2] if above else None


class LengthModel:
    """Predicts the tokens of a sample from those of its group, or else of its step."""

    def __init__(self, max_tokens: list[int], expected_tokens: list[int] | None = None) -> None:
        """Take the bound of each group and, where there are guesses, those (0 for none)."""
        self._max_tokens = max_tokens
        self._expected_tokens = expected_tokens or [0] * len(max_tokens)
        self._step = SlidingWindow(_MAX_STEP_LENGTHS)
        self._groups: dict[int, SlidingWindow] = {}
        self._total = 0
        self._count = 0

    @property
    def mean(self) -> float:
        """The mean tokens of the samples seen; 0 before the first."""
        return self._total / self._count if self._count else 0.0

    def record_length(self, group: int, tokens: int) -> None:
        """Learn the length of a whole sample."""
        self._total += tokens
        self._count += 1
        self._step.add(tokens)
        self._groups.setdefault(group, SlidingWindow(_MAX_GROUP_LENGTHS)).add(tokens)

    def predict_unstarted(self, group: int) -> int:
        """Return the tokens of a sample not yet begun; the most where nothing is known."""
        if group not in self._groups and self._expected_tokens[group]:
            return min(self._max_tokens[group], self._expected_tokens[group])
        if group not in self._groups:
            return self._max_tokens[group]
        return self.predict_total(group, 0)

    def predict_total(self, group: int, generated: int) -> int:
        """Return the tokens that a sample will have, given what is made of it."""
        most = self._max_tokens[group]
        if group not in self._groups and generated < self._expected_tokens[group]:
            return min(most, self._expected_tokens[group])
        if self._step.count == 0:
            return max(most, generated)
        expected = self._find_expected(group, generated)
        return max(generated, min(most, int(expected)))

    def _find_expected(self, group: int, generated: int) -> float:
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
    """How long work usually waits for its first token, and how fast it is made from then on."""

    def __init__(self) -> None:
        self._rates = SlidingWindow(_MAX_RATES)
        self._waits = SlidingWindow(_MAX_RATES)

    @property
    def typical_rate(self) -> float | None:
        """The median rate of finished work, if any has finished."""
        return self._rates.find_median_above(0.0)

    @property
    def typical_wait_seconds(self) -> float:
        """The median seconds until the first token of finished work; 0 before any has finished."""
        return self._waits.find_median_above(-1.0) or 0.0

    def record_work(self, rate: float | None, wait_seconds: float | None) -> None:
        """Learn from finished work what it tells."""
        if rate:
            self._rates.add(rate)
        if wait_seconds is not None:
            self._waits.add(wait_seconds)
