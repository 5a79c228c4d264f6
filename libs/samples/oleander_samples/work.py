"""One attempt at one sample: what is asked of an engine and what came of it so far."""

import dataclasses
import enum
import io

import expression

from oleander_base import invariants
from oleander_samples import labels, steps

_PRIOR_TOKENS = 128
"""How many tokens at the usual rate an attempt is credited with before it has shown its own."""

_WINDOW_SECONDS = 5.0
"""A rate is measured over the last one or two of these."""


@dataclasses.dataclass(slots=True, frozen=True)
class SampleWork:
    """
    A sample to be made, or to be finished from a text that has been begun.

    Choose another engine than the one that had the same number before: it may have been slow.
    """

    work_id: str
    number: int
    group: int
    prompt: str
    prefix: str
    max_tokens: int
    """The most tokens of the whole sample, those of the resumed text among them."""
    resumed_text: str
    resumed_label: tuple[steps.LabelPart, ...]
    resumed_tokens: int
    oldest_version: int
    """Weights older than this are of no use."""
    is_hedge: bool
    """Whether another attempt at the same sample runs."""


class Outcome(enum.Enum):
    """What became of finished work."""

    KEPT = "kept"
    UNKNOWN_LABEL = "unknown-label"
    STALE = "stale"
    NOT_WANTED = "not-wanted"
    """It was cancelled, its sample is already there, or its step has ended."""


@dataclasses.dataclass(slots=True, frozen=True)
class FinishedWork:
    """What became of a whole answer, and the other attempts that are of no more use."""

    outcome: Outcome
    losers: tuple[str, ...] = ()
    """Work to cancel at its engines."""

    @property
    def is_kept(self) -> bool:
        """Whether the sample will be offered to the trainer."""
        return self.outcome is Outcome.KEPT


@dataclasses.dataclass(slots=True, frozen=True)
class Partial:
    """The known start of a sample, from which it can be resumed on any engine."""

    text: str
    label: tuple[steps.LabelPart, ...]
    tokens: int

    @property
    def oldest_version(self) -> int:
        """The version that decides whether it is stale."""
        return steps.find_oldest_version(self.label)


class Attempt:
    """Work in progress; not thread-safe."""

    def __init__(self, work: SampleWork, started_at: float) -> None:
        self._work = work
        self._started_at = started_at
        self._text = io.StringIO()
        self._text.write(work.resumed_text)
        self._label = labels.LabelBuilder(work.resumed_label)
        self._made_tokens = 0
        self._window = (started_at, 0)
        self._next_window = (started_at, 0)

    @property
    def work(self) -> SampleWork:
        """What was asked for."""
        return self._work

    @property
    def made_tokens(self) -> int:
        """The tokens of this attempt alone."""
        return self._made_tokens

    @property
    def tokens(self) -> int:
        """The tokens of the sample so far."""
        return self._work.resumed_tokens + self._made_tokens

    @property
    def characters(self) -> int:
        """The length of the text so far."""
        return self._text.tell()

    @property
    def oldest_version(self) -> int | None:
        """The oldest version that is known to have made any of it."""
        return self._label.oldest_version

    def add_piece(self, text: str, tokens: int, version: int | None) -> None:
        """Take in a piece of the stream."""
        self._text.write(text)
        self._label.add(version, tokens)
        self._made_tokens += max(0, tokens)

    def measure_seconds(self, now: float) -> float:
        """Return how long it has run, the wait for a slot included."""
        return now - self._started_at

    def measure_rate(self, typical: float, now: float) -> float:
        """
        Return its tokens a second lately; call it regularly.

        It is credited with some tokens at the usual rate, so that a new one is no straggler.
        Only the last seconds count: an engine that stops after a good start would look
        fast on the whole for as long as it ran well.
        """
        if now - self._next_window[0] >= _WINDOW_SECONDS:
            self._window = self._next_window
            self._next_window = (now, self._made_tokens)
        since, before = self._window
        seconds = now - since + _PRIOR_TOKENS / typical
        return (self._made_tokens - before + _PRIOR_TOKENS) / seconds

    def build_sample(
        self, assumption: labels.Assumption | None
    ) -> expression.Result[steps.Sample, labels.LabelError]:
        """Return the sample, once it is whole."""
        if assumption is not None:
            self._label.assume(assumption.before, assumption.after, assumption.order_open)
        label = self._label.build()
        if label.is_error():
            return expression.Error(label.error)
        self._require_covered(label.ok)
        work = self._work
        return expression.Ok(
            steps.Sample(work.number, work.group, self._text.getvalue(), label.ok)
        )

    def find_partial(self) -> Partial | None:
        """
        Return what another attempt can resume from, if its label is known.

        One that has all its tokens but not the end of its stream is no start of anything:
        there is nothing left to ask an engine for, and the text may lack its last piece.
        """
        label = self._label.build()
        if label.is_error() or self.tokens >= self._work.max_tokens:
            return None
        self._require_covered(label.ok)
        return Partial(self._text.getvalue(), label.ok, self.tokens)

    def _require_covered(self, label: tuple[steps.LabelPart, ...]) -> None:
        invariants.require(
            sum(part.tokens for part in label) == self.tokens,
            "label-covers-sample",
            f"{self._work.work_id}: {self.tokens} tokens, label {label}",
        )
