"""One attempt at one sample: what is asked of an engine and what came of it so far."""

import dataclasses
import enum
import io

import expression

from oleander_base import invariants
from oleander_samples import labels, steps

_PRIOR_TOKENS = 128
"""How many tokens at the typical rate an attempt is credited with before it has shown its own."""

_WINDOW_TOKENS = 512
"""A rate is averaged over the time in which an engine typically makes so many."""
_MAX_WINDOW_SECONDS = 5.0
"""Longer, and a slow engine keeps its text for most of the time in which its step is due."""
_MIN_WINDOW_SECONDS = 1.5
"""Shorter, and engines that stand still for a second to load weights look slow."""


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
    expected_tokens: int = 0
    """How many are expected to be made yet."""


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
    redundant_work_ids: tuple[str, ...] = ()
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
        self._generated_tokens = 0
        self._first_piece: tuple[float, int] | None = None
        self._last_piece_at = started_at
        self._window = (started_at, 0)
        self._next_window = (started_at, 0)

    @property
    def work(self) -> SampleWork:
        """What was asked for."""
        return self._work

    @property
    def generated_tokens(self) -> int:
        """The tokens of this attempt alone."""
        return self._generated_tokens

    @property
    def tokens(self) -> int:
        """The tokens of the sample so far."""
        return self._work.resumed_tokens + self._generated_tokens

    @property
    def characters(self) -> int:
        """The length of the text so far."""
        return self._text.tell()

    @property
    def oldest_version(self) -> int | None:
        """The oldest version that is known to have made any of it."""
        return self._label.oldest_version

    @property
    def outdated_tokens(self) -> int:
        """The tokens that older weights made than the newest ones that made any."""
        return self._label.outdated_tokens

    @property
    def time_to_first_token(self) -> float | None:
        """How long it waited for its first piece; one that came in a single piece doesn't tell."""
        if self._first_piece is None or self._first_piece[1] == self._generated_tokens:
            return None
        return self._first_piece[0] - self._started_at

    @property
    def mean_rate(self) -> float | None:
        """
        Its tokens a second from the first piece to the last, where these tell it.

        With the wait for a place counted in, texts of a crowded step look half as fast as their
        engines are, and one on an engine that is three times slower looks like the others.
        """
        if self._first_piece is None:
            return None
        since, before = self._first_piece
        if self._generated_tokens == before or self._last_piece_at <= since:
            since, before = self._started_at, 0
        seconds = self._last_piece_at - since
        return (self._generated_tokens - before) / seconds if seconds > 0.0 else None

    def add_piece(self, text: str, tokens: int, version: int | None, now: float) -> None:
        """Take in a piece of the stream."""
        self._text.write(text)
        self._label.add(version, tokens)
        self._generated_tokens += max(0, tokens)
        self._last_piece_at = now
        if self._first_piece is None and tokens > 0:
            self._first_piece = (now, tokens)

    def measure_elapsed(self, now: float) -> float:
        """Return how long it has run, the wait for a slot included."""
        return now - self._started_at

    def measure_rate(self, typical_rate: float, max_wait_seconds: float, now: float) -> float:
        """
        Return its tokens a second lately; call it regularly.

        It is credited with some tokens at the usual rate, so that a new one is no straggler. The
        wait for its first piece is left out, but for what went beyond the patience in seconds.
        Only the last seconds count: an engine that stops after a good start would look
        fast on the whole for as long as it ran well.
        """
        window_seconds = max(_MIN_WINDOW_SECONDS, _WINDOW_TOKENS / typical_rate)
        if now - self._next_window[0] >= min(_MAX_WINDOW_SECONDS, window_seconds):
            self._window = self._next_window
            self._next_window = (now, self._generated_tokens)
        since, before = self._window
        if self._first_piece is not None and since == self._started_at:
            since = min(self._first_piece[0], self._started_at + max_wait_seconds)
        seconds = now - since + _PRIOR_TOKENS / typical_rate
        return (self._generated_tokens - before + _PRIOR_TOKENS) / seconds

    def build_sample(
        self, assumption: labels.Assumption | None
    ) -> expression.Result[steps.Sample, labels.LabelError]:
        """Return the sample, once it is whole."""
        if assumption is not None:
            self._label.set_assumption(
                assumption.before, assumption.after, assumption.has_pending_order
            )
        label = self._label.build()
        if label.is_error():
            return expression.Error(label.error)
        self._check_label_covers_tokens(label.ok)
        work = self._work
        return expression.Ok(
            steps.Sample(work.number, work.group, self._text.getvalue(), label.ok)
        )

    def build_partial(self) -> Partial | None:
        """
        Return what another attempt can resume from, if its label is known.

        One that has all its tokens but not the end of its stream is no start of anything:
        there is nothing left to ask an engine for, and the text may lack its last piece.
        """
        label = self._label.build()
        if label.is_error() or self.tokens >= self._work.max_tokens:
            return None
        self._check_label_covers_tokens(label.ok)
        return Partial(self._text.getvalue(), label.ok, self.tokens)

    def _check_label_covers_tokens(self, label: tuple[steps.LabelPart, ...]) -> None:
        invariants.require(
            sum(part.tokens for part in label) == self.tokens,
            "label-covers-sample",
            f"{self._work.work_id}: {self.tokens} tokens, label {label}",
        )
