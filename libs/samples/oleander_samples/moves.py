"""
Decides which running sample is moved to another server, by what that does to the end of its step.

Lengths are uncertain, so that the end of a step is computed for several sets of lengths.
"""

import abc
import collections
import collections.abc
import dataclasses
import math
import random
import statistics

from oleander_samples import predictions, steps, work

_LENGTH_SIGMA = 0.5
"""Standard deviation of the logarithm of a sample's length around the trainer's estimate."""
_MAX_DEVIATION = 5.0
"""Bounds how far a text is assumed to be beyond its estimate, in standard deviations."""
_DRAWS = 16
"""Sets of lengths for which the end of the step is computed."""
_LONG_QUANTILE = 0.9
"""A sample is looked at only if a length that one in ten exceeds makes a move worthwhile."""
_MIN_GAIN_SECONDS = 0.4
"""The least by which a sample must be expected to end sooner after a move. Predictions are
uncertain, and the server that a sample is moved to may become slow."""
_MIN_STEP_GAIN_SECONDS = 0.1
"""The least by which a move must be expected to shorten the step. It is smaller, as the step ends
with any of several samples whose lengths are not known."""
_GROWTH = 0.5
"""Each further move of a sample requires gains that are larger by this fraction of the least."""
_MAX_MOVES = 5
"""Moves of one sample."""
_MAX_CANDIDATES = 8
"""Samples for which the end of the step is computed, those that lose most where they run."""
_SCAN_INTERVAL_SECONDS = 0.1
_NORMAL = statistics.NormalDist()


class CompletionEstimator(abc.ABC):
    """Predicts when running samples end; the predictions refer to the last `refresh`."""

    @abc.abstractmethod
    def refresh(self, now: float) -> None:
        """Read the present state of the servers."""

    @abc.abstractmethod
    def predict_here(self, attempt: work.Attempt, tokens: float) -> float:
        """Return the seconds until an attempt has that many further tokens where it runs."""

    @abc.abstractmethod
    def predict_elsewhere(self, attempt: work.Attempt, tokens: float) -> float:
        """Return the same at the attempt's target with the cost of the move, or infinity."""

    @abc.abstractmethod
    def predict_unstarted(self, tokens: float) -> float:
        """Return the seconds until a sample that waits to be started has that many tokens."""

    @abc.abstractmethod
    def find_target(self, attempt: work.Attempt) -> str | None:
        """Return the server to which an attempt would be moved, or None if there is none."""

    @abc.abstractmethod
    def explain(self, attempt: work.Attempt) -> str:
        """Return in a word why an attempt ends later where it runs."""


@dataclasses.dataclass(slots=True, frozen=True)
class StepCompletion:
    """What makes a step complete, and who predicts it."""

    estimator: CompletionEstimator
    groups: tuple[str, ...]
    """The group of each sample, in the order of the samples' numbers."""
    wanted_groups: int
    """The number of complete groups for which the trainer waits."""


class MovePlanner:
    """
    Finds the move that shortens a step most; not thread-safe.

    A step ends when the wanted number of its groups are complete. A sample is moved only if the
    step would otherwise end later than it can, if all other samples end where they end soonest.
    Moving any other sample costs a connection and a prefill, and gains nothing.
    """

    def __init__(
        self,
        completion: StepCompletion,
        step: steps.Step,
        group_of: list[int],
        lengths: predictions.LengthModel,
    ) -> None:
        self._completion = completion
        self._estimator = completion.estimator
        self._terms = [step.groups[group] for group in group_of]
        self._group_of = group_of
        self._lengths = lengths
        self._moves: collections.Counter[int] = collections.Counter()
        self._next_scan_at = 0.0

    def record_moved(self, number: int) -> None:
        """Record that a sample was moved, and allow the next scan at once."""
        self._moves[number] += 1
        self._next_scan_at = 0.0

    def find_move(
        self,
        attempts: collections.abc.Iterable[work.Attempt],
        waiting: collections.abc.Iterable[int],
        now: float,
    ) -> work.Move | None:
        """Return the move that shortens the step most, or None if none gains enough."""
        if now < self._next_scan_at:
            return None
        self._next_scan_at = now + _SCAN_INTERVAL_SECONDS
        running = list(attempts)
        self._estimator.refresh(now)
        candidates = self._find_candidates(running)
        if not candidates:
            return None
        plan = _StepPlan(self._completion)
        for number in waiting:
            ends = [self._estimator.predict_unstarted(item) for item in self._draw(number, 0)]
            plan.add(number, ends)
        for attempt in running:
            if attempt not in candidates:
                number = attempt.work.number
                lengths = self._draw(number, attempt.tokens)
                plan.add(number, [self._estimator.predict_here(attempt, n) for n in lengths])
        return self._choose(plan, candidates)

    def _find_candidates(self, running: list[work.Attempt]) -> list[work.Attempt]:
        """Return the attempts that would end sooner elsewhere if their texts were long."""
        losses: list[tuple[float, int, work.Attempt]] = []
        for attempt in running:
            number = attempt.work.number
            if self._moves[number] >= _MAX_MOVES or self._estimator.find_target(attempt) is None:
                continue
            tokens = self._predict_remaining(number, attempt.tokens, _LONG_QUANTILE)
            loss = self._estimator.predict_here(
                attempt, tokens
            ) - self._estimator.predict_elsewhere(attempt, tokens)
            if loss >= _MIN_GAIN_SECONDS * self._find_growth(number):
                losses.append((loss, number, attempt))
        losses.sort(key=lambda item: item[:2], reverse=True)
        return [attempt for _, _, attempt in losses[:_MAX_CANDIDATES]]

    def _choose(self, plan: "_StepPlan", candidates: list[work.Attempt]) -> work.Move | None:
        here = {}
        elsewhere = {}
        for attempt in candidates:
            number = attempt.work.number
            lengths = self._draw(number, attempt.tokens)
            here[number] = [self._estimator.predict_here(attempt, item) for item in lengths]
            elsewhere[number] = [
                self._estimator.predict_elsewhere(attempt, item) for item in lengths
            ]
            plan.add(number, list(map(min, here[number], elsewhere[number])))
        best = None
        for attempt in candidates:
            number = attempt.work.number
            growth = self._find_growth(number)
            own_gain = statistics.fmean(here[number]) - statistics.fmean(elsewhere[number])
            gain = plan.compute_gain(number, here[number], elsewhere[number])
            if own_gain < _MIN_GAIN_SECONDS * growth or gain < _MIN_STEP_GAIN_SECONDS * growth:
                continue
            if best is not None and gain <= best.gain_seconds:
                continue
            best = work.Move(
                number,
                self._estimator.find_target(attempt) or "",
                statistics.fmean(here[number]),
                statistics.fmean(elsewhere[number]),
                gain,
                self._estimator.explain(attempt),
            )
        return best

    def _find_growth(self, number: int) -> float:
        return 1.0 + _GROWTH * self._moves[number]

    def _draw(self, number: int, generated: int) -> list[float]:
        """Return a sample's remaining tokens in each draw, the same quantiles in random order."""
        quantiles = [(draw + 0.5) / _DRAWS for draw in range(_DRAWS)]
        random.Random(number).shuffle(quantiles)
        return [self._predict_remaining(number, generated, item) for item in quantiles]

    def _predict_remaining(self, number: int, generated: int, quantile: float) -> float:
        """
        Return a quantile of a sample's remaining tokens.

        The length is log-normal around the estimate. That it exceeds the text so far makes a
        length far beyond the estimate more probable.
        """
        terms = self._terms[number]
        if not terms.expected_tokens:
            predicted = self._lengths.predict_total(self._group_of[number], generated) - generated
            return predicted * math.exp(_LENGTH_SIGMA * _NORMAL.inv_cdf(quantile))
        reached = -_MAX_DEVIATION
        if generated:
            reached = math.log(generated / terms.expected_tokens) / _LENGTH_SIGMA
        above = _NORMAL.cdf(-min(_MAX_DEVIATION, max(-_MAX_DEVIATION, reached)))
        deviation = -_NORMAL.inv_cdf((1.0 - quantile) * above)
        total = terms.expected_tokens * math.exp(_LENGTH_SIGMA * deviation)
        return max(0.0, min(terms.max_tokens, total) - generated)


class _StepPlan:
    """The ends of a step's unfinished samples for each draw of their lengths."""

    def __init__(self, completion: StepCompletion) -> None:
        self._groups = completion.groups
        self._group_count = len(set(completion.groups))
        self._wanted = completion.wanted_groups
        self._ends: dict[str, dict[int, list[float]]] = {}

    def add(self, number: int, ends: list[float]) -> None:
        """Set the ends of a sample."""
        self._ends.setdefault(self._groups[number], {})[number] = ends

    def compute_gain(self, number: int, here: list[float], elsewhere: list[float]) -> float:
        """Return the mean by which the step ends sooner if a sample ends elsewhere."""
        own = self._groups[number]
        others = [
            _find_latest(list(ends.values())) for group, ends in self._ends.items() if group != own
        ]
        same = [ends for other, ends in self._ends[own].items() if other != number]
        with_here = [*others, _find_latest([*same, here])]
        with_elsewhere = [*others, _find_latest([*same, elsewhere])]
        gains = map(
            lambda first, second: first - second,
            self._find_step_ends(with_here),
            self._find_step_ends(with_elsewhere),
        )
        return statistics.fmean(gains)

    def _find_step_ends(self, groups: list[list[float]]) -> list[float]:
        """Return when the wanted number of groups are complete, for each draw."""
        unfinished = self._wanted - (self._group_count - len(groups))
        if unfinished <= 0:
            return [0.0] * _DRAWS
        position = min(unfinished, len(groups)) - 1
        return [sorted(ends)[position] for ends in zip(*groups, strict=True)]


def _find_latest(ends: list[list[float]]) -> list[float]:
    return [max(item) for item in zip(*ends, strict=True)]
