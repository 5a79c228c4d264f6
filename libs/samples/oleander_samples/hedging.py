"""
Detection of stragglers, and the token budget for hedging them.

A straggler is an attempt that another engine would finish far sooner. A hedge is a second attempt
at its sample, of which the first result counts; a migration cancels the straggler and resumes its
sample on another engine.
"""

import collections.abc
import dataclasses

from oleander_samples import predictions, work

_STRAGGLER_FACTOR = 2.0
"""An attempt is a straggler if its rate, its remaining time or its wait for the first token is
worse than the typical value by this factor."""
_RESTART_COST_TOKENS = 32
"""The cost of resuming on another engine, as a number of generated tokens."""
_MIN_GAIN_SECONDS = 0.5
"""The least time that resuming on a faster engine must save: the move makes that engine process
the text again, and the saving is computed from a predicted length."""


@dataclasses.dataclass(slots=True, frozen=True)
class StragglerPolicy:
    """When an attempt counts as a straggler, and how stragglers are handled."""

    hedge_percent: int
    """The tokens that hedges may generate, in percent of the step's expected tokens."""
    allows_migration: bool = True
    """Whether a straggler that can't be hedged is cancelled and resumed on another engine."""
    min_finished_percent: int = 75
    """The percentage of samples that must be finished before stragglers are looked for."""
    min_wait_seconds: float = 0.0
    """The least wait for a first token after which an attempt can be a straggler."""
    max_backoff_seconds: float = 5.0
    """The longest delay before retrying a sample that fails without a token."""
    max_crash_backoff_seconds: float = 5.0
    """The same for a sample whose attempts end with their engines."""
    scan_interval_seconds: float = 1.0
    """The least time between two scans for stragglers."""

    @property
    def is_active(self) -> bool:
        """Whether stragglers are hedged or migrated at all."""
        return self.allows_migration or self.hedge_percent > 0


class HedgePlanner:
    """
    Finds stragglers and enforces the token budget of hedges.

    An attempt is a straggler if its engine is slow, not if its text is long. A long text takes as
    long on any engine. If a second attempt were started for it, the shorter of the two texts
    would be kept, which would bias the step towards shorter samples than its policy generates.
    The budget limits the tokens that hedges generate to a percentage of the step's expected
    tokens. The tokens that running hedges are expected to generate are reserved.
    """

    def __init__(
        self,
        policy: StragglerPolicy,
        sample_count: int,
        lengths: predictions.LengthModel,
        rates: predictions.RateModel,
    ) -> None:
        self._policy = policy
        self._sample_count = sample_count
        self._lengths = lengths
        self._rates = rates
        self._spent_tokens = 0
        self._reserved: dict[str, int] = {}
        self._next_scan_at = 0.0

    @property
    def token_budget(self) -> float:
        """The number of tokens that hedges of this step may generate."""
        return self._lengths.mean * self._sample_count * self._policy.hedge_percent / 100

    @property
    def spent_tokens(self) -> int:
        """The number of tokens that hedges generated while their sample had another attempt."""
        return self._spent_tokens

    @property
    def is_overspent(self) -> bool:
        """Whether hedges have generated more tokens than the budget."""
        return self._spent_tokens > self.token_budget

    def is_scan_due(self, finished_count: int, now: float) -> bool:
        """
        Return whether to scan for stragglers now; if so, schedule the next scan.

        A scan is due once enough samples are finished and the scan interval has passed.
        """
        min_finished_count = self._sample_count * self._policy.min_finished_percent / 100
        if not self._policy.is_active or finished_count < min_finished_count:
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
        Return the numbers of samples that only stragglers generate, longest remaining time first.

        If a sample has two attempts, both must be stragglers. `free_slot_rate` is the rate of the
        fastest engine with a free slot, in tokens per second; None if unknown.
        """
        typical_rate = self._rates.typical_rate
        if typical_rate is None:
            return []
        late: dict[int, float] = {}
        in_time = set()
        for attempt in attempts:
            number = attempt.work.number
            seconds = self._estimate_straggler_seconds(attempt, typical_rate, free_slot_rate, now)
            if seconds is None:
                in_time.add(number)
            else:
                late[number] = min(seconds, late.get(number, seconds))
        return sorted(late.keys() - in_time, key=lambda number: (-late[number], number))

    def find_slower(self, first: work.Attempt, second: work.Attempt, now: float) -> work.Attempt:
        """Return the one of two attempts at the same sample that is expected to end later."""
        typical_rate = self._rates.typical_rate or 1.0
        seconds = [
            self.predict_remaining(attempt)
            / attempt.measure_rate(typical_rate, self._max_wait_seconds, now)
            for attempt in (first, second)
        ]
        return first if seconds[0] > seconds[1] else second

    def predict_remaining(self, attempt: work.Attempt) -> int:
        """Return the predicted number of tokens that an attempt has yet to generate."""
        total = self._lengths.predict_total(attempt.work.group, attempt.tokens)
        return total - attempt.tokens

    def predict_hedge_tokens(self, group: int, resumed_tokens: int) -> int:
        """Return the predicted number of tokens that a hedge would generate."""
        return self._lengths.predict_total(group, resumed_tokens) - resumed_tokens

    def has_budget_for(self, tokens: int) -> bool:
        """Return whether the budget allows a hedge of this many tokens."""
        return self._spent_tokens + sum(self._reserved.values()) + tokens <= self.token_budget

    def reserve(self, work_id: str, tokens: int) -> None:
        """Reserve the expected tokens of a hedge that starts."""
        self._reserved[work_id] = tokens

    def record_tokens(self, work_id: str, tokens: int) -> None:
        """Charge generated tokens to the budget if the work is a hedge with a reservation."""
        if work_id not in self._reserved or tokens < 0:
            return
        self._spent_tokens += tokens
        self._reserved[work_id] = max(0, self._reserved[work_id] - tokens)

    def release(self, work_id: str) -> None:
        """Release the reservation of a hedge that ended or is now its sample's only attempt."""
        self._reserved.pop(work_id, None)

    @property
    def _max_wait_seconds(self) -> float:
        """The wait for a first token, in seconds, from which an attempt can be a straggler."""
        return max(
            self._policy.min_wait_seconds, _STRAGGLER_FACTOR * self._rates.typical_wait_seconds
        )

    def _estimate_straggler_seconds(
        self, attempt: work.Attempt, typical_rate: float, free_slot_rate: float | None, now: float
    ) -> float | None:
        """
        Return the seconds that an attempt still needs, or None if it is not a straggler.

        An attempt without a token is presumably waiting for a slot, as it would on any engine. It
        can be a straggler only once it has waited for far longer than the others did.
        """
        if not attempt.generated_tokens and attempt.measure_elapsed(now) < self._max_wait_seconds:
            return None
        rate = attempt.measure_rate(typical_rate, self._max_wait_seconds, now)
        tokens = self.predict_remaining(attempt)
        remaining_seconds = tokens / rate
        if (
            free_slot_rate
            and remaining_seconds
            >= (tokens + _RESTART_COST_TOKENS) / free_slot_rate + _MIN_GAIN_SECONDS
        ):
            return remaining_seconds
        if rate * _STRAGGLER_FACTOR >= typical_rate:
            return None
        elsewhere_seconds = (
            self._rates.typical_wait_seconds + (tokens + _RESTART_COST_TOKENS) / typical_rate
        )
        return (
            remaining_seconds
            if remaining_seconds > _STRAGGLER_FACTOR * elsewhere_seconds
            else None
        )
