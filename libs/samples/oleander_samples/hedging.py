"""Which samples are stragglers, and what running them a second time may cost."""

import collections.abc
import dataclasses

from oleander_samples import predictions, work

_STRAGGLER_FACTOR = 2.0
"""A straggler needs this times what another engine would."""
_RESTART_COST_TOKENS = 32
"""What starting elsewhere costs, in tokens at the typical rate."""
_MIN_GAIN_SECONDS = 0.5
"""By so much sooner a sample has to end on a faster engine to be moved there: its text is read
again, and its length is predicted."""


@dataclasses.dataclass(slots=True, frozen=True)
class StragglerPolicy:
    """What is done about stragglers."""

    hedge_percent: int
    """The tokens that hedges may make, in percent of the step's."""
    allows_migration: bool = True
    """Whether one that may not be hedged is cancelled and resumed on another engine."""
    min_finished_percent: int = 75
    """Nothing is a straggler before so much of the step is whole."""
    min_wait_seconds: float = 0.0
    """How long an attempt may wait for its first token before it can be a straggler."""
    max_backoff_seconds: float = 5.0
    """The longest pause before a sample that fails at once is tried again."""
    scan_interval_seconds: float = 1.0
    """How long after one look for stragglers the next follows."""

    @property
    def is_active(self) -> bool:
        """Whether anything is done at all."""
        return self.allows_migration or self.hedge_percent > 0


class HedgePlanner:
    """
    Finds stragglers and keeps to the budget of hedges.

    Slowness makes a straggler, not length: a long text would take as long anywhere, and of two
    tries the shorter would win, which would make a step's samples shorter than its policy does.
    The budget is in tokens that hedges make, as a part of the step's expected tokens; what running
    hedges are expected to make is reserved.
    """

    def __init__(
        self,
        policy: StragglerPolicy,
        total: int,
        lengths: predictions.LengthModel,
        rates: predictions.RateModel,
    ) -> None:
        self._policy = policy
        self._total = total
        self._lengths = lengths
        self._rates = rates
        self._spent_tokens = 0
        self._reserved: dict[str, int] = {}
        self._next_scan_at = 0.0

    @property
    def token_budget(self) -> float:
        """The tokens that hedges may make."""
        return self._lengths.mean * self._total * self._policy.hedge_percent / 100

    @property
    def spent_tokens(self) -> int:
        """The tokens that hedges made while they raced another attempt."""
        return self._spent_tokens

    @property
    def is_overspent(self) -> bool:
        """Whether hedges made more than they may."""
        return self._spent_tokens > self.token_budget

    def is_scan_due(self, finished_count: int, now: float) -> bool:
        """Tell whether to look for stragglers: the step is nearly whole, not looked lately."""
        least = self._total * self._policy.min_finished_percent / 100
        if not self._policy.is_active or finished_count < least:
            return False
        if now < self._next_scan_at:
            return False
        self._next_scan_at = now + self._policy.scan_interval_seconds
        return True

    def find_stragglers(
        self,
        attempts: collections.abc.Iterable[work.Attempt],
        now: float,
        free_slot_rate: float | None = None,
    ) -> list[int]:
        """
        Return the samples that another engine would finish far sooner, the latest first.

        Where a sample has two attempts, both must be late. The rate is that of the fastest engine
        with a spare place, in tokens a second; nothing where it is unknown.
        """
        typical = self._rates.typical_rate
        if typical is None:
            return []
        late: dict[int, float] = {}
        in_time = set()
        for attempt in attempts:
            number = attempt.work.number
            seconds = self._estimate_late_seconds(attempt, typical, free_slot_rate, now)
            if seconds is None:
                in_time.add(number)
            else:
                late[number] = min(seconds, late.get(number, seconds))
        return sorted(late.keys() - in_time, key=lambda number: (-late[number], number))

    def find_slower(self, first: work.Attempt, second: work.Attempt, now: float) -> work.Attempt:
        """Return which of two attempts at one sample is expected to end later."""
        typical = self._rates.typical_rate or 1.0
        seconds = [
            self.predict_remaining(attempt)
            / attempt.measure_rate(typical, self._max_wait_seconds, now)
            for attempt in (first, second)
        ]
        return first if seconds[0] > seconds[1] else second

    def predict_remaining(self, attempt: work.Attempt) -> int:
        """Return how many tokens an attempt will still make."""
        total = self._lengths.predict_total(attempt.work.group, attempt.tokens)
        return total - attempt.tokens

    def predict_hedge_tokens(self, group: int, resumed_tokens: int) -> int:
        """Return how many tokens a hedge would make."""
        return self._lengths.predict_total(group, resumed_tokens) - resumed_tokens

    def has_budget_for(self, tokens: int) -> bool:
        """Tell whether the budget has room for a hedge."""
        return self._spent_tokens + sum(self._reserved.values()) + tokens <= self.token_budget

    def reserve(self, work_id: str, tokens: int) -> None:
        """Count a hedge that starts."""
        self._reserved[work_id] = tokens

    def record_tokens(self, work_id: str, tokens: int) -> None:
        """Count what a hedge made; other work costs nothing."""
        if work_id not in self._reserved or tokens < 0:
            return
        self._spent_tokens += tokens
        self._reserved[work_id] = max(0, self._reserved[work_id] - tokens)

    def release(self, work_id: str) -> None:
        """Forget a hedge that ended or that has no rival any more."""
        self._reserved.pop(work_id, None)

    @property
    def _max_wait_seconds(self) -> float:
        """The seconds for which work may wait for its first token and be no straggler."""
        return max(
            self._policy.min_wait_seconds, _STRAGGLER_FACTOR * self._rates.typical_wait_seconds
        )

    def _estimate_late_seconds(
        self, attempt: work.Attempt, typical: float, free_slot_rate: float | None, now: float
    ) -> float | None:
        """
        Return the seconds that an attempt still needs, if that is far over what others do.

        One that has made nothing yet waits for a place, as it would elsewhere; only when it waits
        far longer than others did it counts as stuck.
        """
        if not attempt.generated_tokens and attempt.measure_elapsed(now) < self._max_wait_seconds:
            return None
        rate = attempt.measure_rate(typical, self._max_wait_seconds, now)
        tokens = self.predict_remaining(attempt)
        here = tokens / rate
        if (
            free_slot_rate
            and here >= (tokens + _RESTART_COST_TOKENS) / free_slot_rate + _MIN_GAIN_SECONDS
        ):
            return here
        if rate * _STRAGGLER_FACTOR >= typical:
            return None
        elsewhere = self._rates.typical_wait_seconds + (tokens + _RESTART_COST_TOKENS) / typical
        return here if here > _STRAGGLER_FACTOR * elsewhere else None
