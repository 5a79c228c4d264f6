"""One attempt to generate a sample: the request to an engine and the text received so far."""

import dataclasses
import enum
import io

import expression

from oleander_base import invariants
from oleander_samples import labels, steps

_PRIOR_TOKENS = 128
"""Tokens at the typical rate that are added to each rate measurement, so that a new attempt is
not taken for a straggler before its own rate is known."""

_WINDOW_TOKENS = 512
"""A rate is averaged over the time in which a typical engine generates this many tokens."""
_MAX_WINDOW_SECONDS = 5.0
"""With a longer window a slow engine keeps its text for most of the time in which the step is
due."""
_MIN_WINDOW_SECONDS = 1.5
"""With a shorter window an engine that pauses for a second to load weights looks slow."""


@dataclasses.dataclass(slots=True, frozen=True)
class SampleWork:
    """
    A request to generate a sample, from the beginning or from a partial text.

    Send it to another engine than an earlier attempt at the same sample, which may have been
    stopped because its engine was slow.
    """

    work_id: str
    number: int
    group: int
    prompt: str
    prefix: str
    max_tokens: int
    """The maximum number of tokens of the whole sample, including those of the resumed text."""
    resumed_text: str
    resumed_label: tuple[steps.LabelPart, ...]
    resumed_tokens: int
    oldest_version: int
    """The oldest weight version with which a generated token is not stale."""
    is_hedge: bool
    """Whether it races another running attempt at the same sample."""
    expected_tokens: int = 0
    """The predicted number of tokens that remain to be generated."""


class Outcome(enum.Enum):
    """What happened to the answer of finished work."""

    KEPT = "kept"
    """The sample is stored until the trainer holds it."""
    UNKNOWN_LABEL = "unknown-label"
    """The weight versions that generated it can't be determined; it is generated again."""
    STALE = "stale"
    """It contains tokens of weights that are too old; it is generated again."""
    NOT_WANTED = "not-wanted"
    """The work was cancelled, its sample already exists, or its step has ended."""


@dataclasses.dataclass(slots=True, frozen=True)
class FinishedWork:
    """The outcome of a complete answer, and the attempts that it makes redundant."""

    outcome: Outcome
    redundant_work_ids: tuple[str, ...] = ()
    """Other attempts at the same sample, which must be cancelled at their engines."""

    @property
    def is_kept(self) -> bool:
        """Whether the sample will be offered to the trainer."""
        return self.outcome is Outcome.KEPT


@dataclasses.dataclass(slots=True, frozen=True)
class Partial:
    """The start of a sample with its label, from which any engine can resume it."""

    text: str
    label: tuple[steps.LabelPart, ...]
    tokens: int

    @property
    def oldest_version(self) -> int:
        """The oldest weight version in the label; it decides whether the text is stale."""
        return steps.find_oldest_version(self.label)


class Attempt:
    """A running attempt with its text, label and rate so far; not thread-safe."""

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
        """The request that this attempt serves."""
        return self._work

    @property
    def generated_tokens(self) -> int:
        """The number of tokens that this attempt generated, without those it was resumed from."""
        return self._generated_tokens

    @property
    def tokens(self) -> int:
        """The number of tokens of the sample so far, including those it was resumed from."""
        return self._work.resumed_tokens + self._generated_tokens

    @property
    def characters(self) -> int:
        """The length of the text so far, in characters."""
        return self._text.tell()

    @property
    def oldest_version(self) -> int | None:
        """The oldest weight version stated for any of its tokens; None if none was stated."""
        return self._label.oldest_version

    @property
    def outdated_tokens(self) -> int:
        """The number of tokens of older weight versions than its newest one."""
        return self._label.outdated_tokens

    @property
    def time_to_first_token(self) -> float | None:
        """
        The seconds from its start to its first piece.

        None until a second piece arrives: if all tokens come in one piece, its arrival doesn't
        show when the engine began.
        """
        if self._first_piece is None or self._first_piece[1] == self._generated_tokens:
            return None
        return self._first_piece[0] - self._started_at

    @property
    def mean_rate(self) -> float | None:
        """
        Its tokens per second from the first piece to the last; None if there are no tokens.

        If all tokens came at one moment, the time is measured from the start of the attempt.
        Otherwise the wait for a free slot is left out. Including it makes the engines of a
        crowded step look half as fast as they are, which hides an engine that is three times
        slower than the others.
        """
        if self._first_piece is None:
            return None
        since, before = self._first_piece
        if self._generated_tokens == before or self._last_piece_at <= since:
            since, before = self._started_at, 0
        seconds = self._last_piece_at - since
        return (self._generated_tokens - before) / seconds if seconds > 0.0 else None

    def add_piece(self, text: str, tokens: int, version: int | None, now: float) -> None:
        """Add a piece of the stream; `version` is None if the engine did not state it."""
        self._text.write(text)
        self._label.add(version, tokens)
        self._generated_tokens += max(0, tokens)
        self._last_piece_at = now
        if self._first_piece is None and tokens > 0:
            self._first_piece = (now, tokens)

    def measure_elapsed(self, now: float) -> float:
        """Return the seconds since the start of the attempt, including the wait for a slot."""
        return now - self._started_at

    def measure_rate(self, typical_rate: float, max_wait_seconds: float, now: float) -> float:
        """
        Return its recent rate in tokens per second.

        Call it regularly: each call may advance the window over which the rate is averaged. The
        window is short, because an engine that stalls after a good start would look fast on
        average for as long as it had run well. `_PRIOR_TOKENS` at the typical rate are added, so
        that a new attempt is not a straggler. The wait for the first piece counts only beyond
        `max_wait_seconds`.
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
        """Return the complete sample, or why its label can't be determined."""
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
        Return the partial text for another attempt to resume from, or None if it is unusable.

        It is unusable if its label is not known, or if it has the maximum number of tokens but
        its stream did not end: no tokens are left to request, and the last piece may be missing.
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
            f"work {self._work.work_id} has {self.tokens} tokens but the label {label}",
        )
