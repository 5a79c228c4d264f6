"""Schedules the work of a step: which samples to start, cancel, resume and restart."""

import collections
import collections.abc
import math
import random

import expression

from oleander_base import identifiers, invariants, metrics
from oleander_samples import (
    attempts,
    backlog,
    hedging,
    labels,
    moves,
    predictions,
    steps,
    work,
)

MAX_TEXT_CHARACTERS = 4 * 1024 * 1024
"""A sample whose text grows beyond this length is discarded and generated again."""
MAX_PENDING_CANCELLATIONS = 64 * 1024
"""Beyond this number the oldest cancellations are dropped, and their engines continue to
generate text that is discarded."""
_INITIAL_BACKOFF_SECONDS = 0.1
"""The longest delay before the first retry of a sample; it doubles with each further failure."""
_MAX_DOUBLINGS = 10
"""Maximum number of doublings, so that the computed delay can't overflow."""
MAX_DISCARDED_PERCENT = 25
"""The percentage of a sample's expected length that may be discarded to generate the whole sample
with newer weights; applies to trainers that minimise staleness."""


class WorkScheduler:
    """
    Manages the attempts at the unfinished samples of a step; not thread-safe.

    An unfinished sample either waits in the backlog or has one or two running attempts. If an
    attempt fails, the sample is resumed from its partial text. If the label of the text can't be
    determined, or the oldest version in it is too old to be delivered, the sample is generated
    from the start. Where a text must have a single weight version, so is a sample whose text would
    get a second one.
    """

    def __init__(
        self,
        step: steps.Step,
        policy: hedging.StragglerPolicy,
        random_seed: int,
        max_discarded_percent: int = 0,
        requires_single_version: bool = False,
        completion: moves.StepCompletion | None = None,
    ) -> None:
        """
        Create a scheduler with all samples of the step in its backlog.

        A sample is restarted when its engine's weights change if at most `max_discarded_percent`
        of its expected length was generated with older weights. With `requires_single_version`
        no text has tokens of several weight versions. With `completion`, samples are moved by the
        predicted end of the step instead of by their own rate.
        """
        self._step = step
        self._random = random.Random(random_seed)
        self._work_name = identifiers.create_nonce()
        self._work_count = 0
        self._oldest_version = 0
        self._group_of = [
            index for index, group in enumerate(step.groups) for _ in range(group.sample_count)
        ]
        self._lengths = predictions.LengthModel(
            [group.max_tokens for group in step.groups],
            [group.expected_tokens for group in step.groups],
        )
        self._rates = predictions.RateModel()
        self._backlog = backlog.Backlog(self._group_of, self._lengths)
        self._policy = policy
        self._max_discarded_percent = max_discarded_percent
        self._requires_single_version = requires_single_version
        self._attempts = attempts.AttemptTable()
        self._hedges = hedging.HedgePlanner(policy, step.sample_count, self._lengths, self._rates)
        self._moves = (
            moves.MovePlanner(completion, step, self._group_of, self._lengths)
            if completion is not None
            else None
        )
        self._stragglers: collections.deque[int] = collections.deque()
        self._partials: dict[int, work.Partial] = {}
        self._failures: dict[int, int] = {}
        self._cancellations: collections.deque[str] = collections.deque(
            maxlen=MAX_PENDING_CANCELLATIONS
        )

    @property
    def waiting(self) -> int:
        """The number of samples that wait to be started."""
        return len(self._backlog)

    @property
    def running(self) -> int:
        """The number of samples with a running attempt."""
        return self._attempts.sample_count

    @property
    def in_flight(self) -> int:
        """The number of running attempts, including hedges."""
        return len(self._attempts)

    @property
    def hedge_tokens(self) -> int:
        """The number of tokens that hedges have generated, as charged to their budget."""
        return self._hedges.spent_tokens

    def peek_next(self, now: float) -> int | None:
        """Return the number of the waiting sample that starts next, or None if none is due."""
        return self._backlog.peek(now)

    def predict_remaining(self, number: int) -> int:
        """
        Return the predicted number of tokens that are still to be generated of a sample.

        Without an estimate of the trainer, a sample is expected to have the mean length of those
        that are finished; its maximum length would make every sample look like the longest.
        """
        running = self._attempts.find_all(number)
        if not running and number not in self._backlog:
            return 0
        partial = self._partials.get(number)
        made = max(
            (attempt.tokens for attempt in running), default=partial.tokens if partial else 0
        )
        group = self._group_of[number]
        mean = int(self._lengths.mean)
        if not self._step.groups[group].expected_tokens and (made <= mean or not mean):
            return max(0, mean - made)
        return self._hedges.predict_hedge_tokens(group, made)

    def set_deferred(self, numbers: collections.abc.Iterable[int]) -> None:
        """Set the samples whose groups start after all others."""
        self._backlog.set_deferred(frozenset(self._group_of[number] for number in numbers))

    def start_next(
        self,
        now: float,
        has_free_slot: bool = True,
        free_slot_rate: float | None = None,
        free_slot_version: int | None = None,
    ) -> work.SampleWork | None:
        """
        Return the next work to start: a waiting sample, or else another attempt at a straggler.

        No attempt at a straggler is started while no engine has a free slot, since the attempt
        would only wait for one. `free_slot_rate` is the rate at which the fastest engine with a
        free slot generates one sample, in tokens per second, and `free_slot_version` its weight
        version; None if unknown.
        """
        number = self._backlog.pop(now)
        if number is not None:
            return self._start(number, self._partials.pop(number, None), now, is_hedge=False)
        if self._moves is not None:
            return self._start_move(self._moves, now) if has_free_slot else None
        if self._backlog or not has_free_slot:
            return None
        return self._start_straggler(now, free_slot_rate, free_slot_version)

    def record_progress(
        self, work_id: str, text: str, tokens: int, version: int | None, now: float
    ) -> None:
        """Add a piece of an attempt's stream; pieces of cancelled work are ignored."""
        attempt = self._attempts.find(work_id)
        if attempt is None:
            return
        attempt.add_piece(text, tokens, version, now)
        self._hedges.record_tokens(work_id, tokens)
        if self._is_stale(attempt.oldest_version):
            self._cancel_stale(attempt, now)
        elif self._is_worth_restarting(attempt) or self._has_excess_version(attempt):
            self._cancel(attempt)
            self._restart_discarded(attempt, now)
        elif attempt.characters > MAX_TEXT_CHARACTERS:
            self._cancel(attempt)
            self._restart_discarded(
                attempt, now + self._choose_backoff_seconds(attempt.work.number)
            )
        elif self._hedges.is_overspent:
            self._cancel_slower(attempt.work.number, now)

    def finish(
        self, work_id: str, assumption: labels.Assumption | None, now: float
    ) -> expression.Result[steps.Sample, work.Outcome]:
        """Finish an attempt whose stream has ended; return its sample, or why there is none."""
        attempt = self._remove(work_id)
        if attempt is None:
            return expression.Error(work.Outcome.NOT_WANTED)
        built = attempt.build_sample(assumption)
        if built.is_error():
            self._restart_discarded(
                attempt, now + self._choose_backoff_seconds(attempt.work.number)
            )
            return expression.Error(work.Outcome.UNKNOWN_LABEL)
        if self._is_stale(built.ok.oldest_version):
            steps.count_samples(self._step, metrics.SAMPLES_STALE)
            self._restart_discarded(attempt, now)
            return expression.Error(work.Outcome.STALE)
        self._update_predictions(attempt)
        return expression.Ok(built.ok)

    def fail(self, work_id: str, now: float, has_ended_engine: bool = False) -> None:
        """
        Handle the failure of an attempt, and save its partial text so that it can be resumed.

        The text is discarded if its label can't be determined, because the label of the whole
        sample would then be a guess.
        """
        attempt = self._remove(work_id)
        if attempt is None:
            return
        number = attempt.work.number
        if attempt.generated_tokens:
            self._failures.pop(number, None)
        ready_at = now
        if not attempt.generated_tokens:
            ready_at += self._choose_backoff_seconds(number, has_ended_engine)
        if not self._save_partial(attempt):
            self._restart_discarded(attempt, ready_at)
            return
        if not self._attempts.find_all(number):
            self._backlog.add_retry(number, ready_at)

    def requeue_refused(self, work_id: str, now: float) -> None:
        """
        Requeue a sample whose attempt was refused before it began, with its partial text.

        A refusal is not a failure of the sample, so the retry delay does not grow. If it did, the
        samples that met full engines would start last and delay the step.
        """
        attempt = self._remove(work_id)
        if attempt is None:
            return
        self._save_partial(attempt)
        if not self._attempts.find_all(attempt.work.number):
            self._backlog.add_retry(attempt.work.number, now)

    def restart(self, work_id: str, now: float) -> None:
        """Requeue a sample whose attempt was not sent, to be generated from the start."""
        attempt = self._remove(work_id)
        if attempt is not None:
            self._partials.pop(attempt.work.number, None)
            self._restart_discarded(attempt, now)

    def hand_over(self, work_id: str, now: float) -> None:
        """
        Requeue a sample whose generation another entry receives from now on.

        Its partial text is discarded: if the trainer comes back, the generation is joined again,
        which takes less work than to resume from the text.
        """
        attempt = self._remove(work_id)
        if attempt is not None and not self._attempts.find_all(attempt.work.number):
            self._backlog.add_retry(attempt.work.number, now)

    def add_partial(self, number: int, partial: work.Partial) -> None:
        """
        Save a partial text, possibly of another process, unless a longer one is known.

        A text that already has an excess weight version is ignored.
        """
        if self._has_excess_version(partial):
            return
        known = self._partials.get(number)
        if known is None or known.tokens < partial.tokens:
            self._partials[number] = partial

    def list_partials(self) -> dict[int, work.Partial]:
        """Return the longest partial text of each unfinished sample that has one."""
        found = dict(self._partials)
        for attempt in self._attempts:
            partial = attempt.build_partial()
            known = found.get(attempt.work.number)
            if partial is not None and (known is None or known.tokens < partial.tokens):
                found[attempt.work.number] = partial
        return found

    def stop_sample(self, number: int) -> tuple[str, ...]:
        """Stop work on a finished or held sample; return the work IDs that were running."""
        redundant = self._attempts.find_all(number)
        for attempt in redundant:
            self._remove(attempt.work.work_id)
        self._backlog.remove(number)
        self._partials.pop(number, None)
        self._failures.pop(number, None)
        return tuple(attempt.work.work_id for attempt in redundant)

    def restart_sample(self, number: int, now: float) -> None:
        """Queue a sample that was finished but is no longer available."""
        self._backlog.add_retry(number, now)

    def raise_oldest_version(self, version: int, now: float) -> None:
        """
        Set the oldest weight version that may be delivered.

        Attempts and partial texts with tokens of older versions are discarded at once.
        """
        self._oldest_version = version
        stale = [item for item in self._attempts if self._is_stale(item.oldest_version)]
        for attempt in stale:
            self._cancel_stale(attempt, now)
        for number, partial in list(self._partials.items()):
            if self._is_stale(partial.oldest_version):
                del self._partials[number]
                steps.count_samples(self._step, metrics.SAMPLES_STALE)
                steps.count_samples(self._step, metrics.SAMPLES_REMADE)

    def cancel(self, work_ids: tuple[str, ...]) -> None:
        """Queue work to be cancelled at its engines."""
        self._cancellations.extend(work_ids)

    def cancel_all(self) -> None:
        """Cancel all running attempts and discard all partial texts."""
        for attempt in self._attempts:
            self._cancel(attempt)
        self._partials.clear()

    def take_cancellations(self) -> list[str]:
        """Return and clear the IDs of the work to be cancelled."""
        taken = list(self._cancellations)
        self._cancellations.clear()
        return taken

    def _save_partial(self, attempt: work.Attempt) -> bool:
        """Save the partial text of an attempt; return whether it is usable."""
        partial = attempt.build_partial()
        if partial is None:
            return False
        self.add_partial(attempt.work.number, partial)
        return True

    def _start(
        self,
        number: int,
        partial: work.Partial | None,
        now: float,
        is_hedge: bool,
        move: work.Move | None = None,
    ) -> work.SampleWork:
        """Add an attempt at a sample that resumes from a partial text, if there is one."""
        invariants.require(
            partial is None or not self._is_stale(partial.oldest_version),
            "resumed-is-fresh",
            f"sample {number} would be resumed from stale text: {partial and partial.label}",
        )
        self._work_count += 1
        group = self._group_of[number]
        terms = self._step.groups[group]
        resumed_tokens = partial.tokens if partial else 0
        started = work.SampleWork(
            work_id=f"{self._work_name}-{self._work_count}",
            number=number,
            group=group,
            prompt=terms.prompt,
            prefix=terms.prefix,
            max_tokens=terms.max_tokens,
            resumed_text=partial.text if partial else "",
            resumed_label=partial.label if partial else (),
            resumed_tokens=resumed_tokens,
            oldest_version=self._oldest_version,
            is_hedge=is_hedge,
            expected_tokens=self._hedges.predict_hedge_tokens(group, resumed_tokens),
            move=move,
        )
        self._attempts.add(work.Attempt(started, now))
        return started

    def _start_straggler(
        self, now: float, free_slot_rate: float | None, free_slot_version: int | None
    ) -> work.SampleWork | None:
        """Scan for stragglers if due, and hedge or migrate the first one that allows it."""
        finished_count = self._step.sample_count - self.waiting - self.running
        if self._hedges.is_scan_due(finished_count, now):
            self._stragglers.clear()
            found = self._hedges.find_stragglers(self._attempts, now, free_slot_rate)
            self._stragglers.extend(found)
        while self._stragglers:
            number = self._stragglers.popleft()
            same = self._attempts.find_all(number)
            if not self._can_continue_with(same, free_slot_version):
                continue
            started = self._hedge(same[0], now) if len(same) == 1 else None
            if started is None:
                started = self._migrate(number, now)
            if started is not None:
                return started
        return None

    def _start_move(self, planner: moves.MovePlanner, now: float) -> work.SampleWork | None:
        """Move the sample whose move shortens the step most, if there is one."""
        move = planner.find_move(self._attempts, self._backlog, now)
        started = self._migrate(move.number, now, move) if move is not None else None
        if started is not None:
            planner.record_moved(started.number)
        return started

    def _hedge(self, straggler: work.Attempt, now: float) -> work.SampleWork | None:
        """Start a second attempt from the partial text if the token budget allows it."""
        partial = straggler.build_partial()
        resumed_tokens = partial.tokens if partial else 0
        tokens = self._hedges.predict_hedge_tokens(straggler.work.group, resumed_tokens)
        if not self._hedges.has_budget_for(tokens):
            return None
        hedge = self._start(straggler.work.number, partial, now, is_hedge=True)
        self._hedges.reserve(hedge.work_id, tokens)
        return hedge

    def _migrate(
        self, number: int, now: float, move: work.Move | None = None
    ) -> work.SampleWork | None:
        """
        Cancel a sample's attempts and resume it from its longest partial text.

        Return None, without cancelling anything, if migration is off or if tokens would be lost.
        """
        same = self._attempts.find_all(number)
        partials = [partial for item in same if (partial := item.build_partial()) is not None]
        longest = max(partials, key=lambda item: item.tokens, default=None)
        generated_tokens = max((item.tokens for item in same), default=0)
        if (
            not same
            or not self._policy.allows_migration
            or generated_tokens > (longest.tokens if longest else 0)
        ):
            return None
        for attempt in same:
            self._cancel(attempt)
        return self._start(number, longest, now, is_hedge=False, move=move)

    def _cancel_slower(self, number: int, now: float) -> None:
        """Cancel the slower of a sample's two attempts, because the hedge budget is exceeded."""
        same = self._attempts.find_all(number)
        if len(same) > 1:
            self._cancel(self._hedges.find_slower(same[0], same[1], now))

    def _update_predictions(self, attempt: work.Attempt) -> None:
        self._lengths.record_length(attempt.work.group, attempt.tokens)
        self._rates.record_work(attempt.mean_rate, attempt.time_to_first_token)
        self._backlog.update_rank(attempt.work.group)

    def _is_worth_restarting(self, attempt: work.Attempt) -> bool:
        """Return whether some tokens are outdated, and few enough to discard the text."""
        outdated = attempt.outdated_tokens if self._max_discarded_percent else 0
        expected = self._lengths.predict_unstarted(attempt.work.group)
        return 0 < outdated * 100 <= expected * self._max_discarded_percent

    def _has_excess_version(self, text: work.Attempt | work.Partial) -> bool:
        return self._requires_single_version and len(text.versions) > 1

    def _can_continue_with(
        self, same: collections.abc.Iterable[work.Attempt], version: int | None
    ) -> bool:
        """Return whether the texts of a sample's attempts may go on with a weight version."""
        if not self._requires_single_version:
            return True
        return all(attempt.versions <= {version} for attempt in same)

    def _is_stale(self, oldest_version: int | None) -> bool:
        return oldest_version is not None and oldest_version < self._oldest_version

    def _cancel_stale(self, attempt: work.Attempt, now: float) -> None:
        steps.count_samples(self._step, metrics.SAMPLES_STALE)
        self._cancel(attempt)
        self._restart_discarded(attempt, now)

    def _cancel(self, attempt: work.Attempt) -> None:
        self._remove(attempt.work.work_id)
        self._cancellations.append(attempt.work.work_id)

    def _remove(self, work_id: str) -> work.Attempt | None:
        """Remove an attempt and release the hedge reservations of its sample."""
        attempt = self._attempts.remove(work_id)
        if attempt is None:
            return None
        for other in (attempt, *self._attempts.find_all(attempt.work.number)):
            self._hedges.release(other.work.work_id)
        return attempt

    def _restart_discarded(self, attempt: work.Attempt, ready_at: float) -> None:
        """Queue a sample whose attempt was discarded, unless another attempt is running."""
        number = attempt.work.number
        if self._attempts.find_all(number):
            return
        if attempt.tokens:
            steps.count_samples(self._step, metrics.SAMPLES_REMADE)
        self._backlog.add_retry(number, ready_at)

    def _choose_backoff_seconds(self, number: int, has_ended_engine: bool = False) -> float:
        """Return a random delay that doubles with each failure, to avoid a tight retry loop."""
        policy = self._policy
        bound = (
            policy.max_crash_backoff_seconds if has_ended_engine else policy.max_backoff_seconds
        )
        failures = self._failures.get(number, 0)
        self._failures[number] = failures + 1
        uncapped = math.ldexp(_INITIAL_BACKOFF_SECONDS, min(failures, _MAX_DOUBLINGS))
        longest = min(bound, uncapped)
        return longest * self._random.uniform(0.5, 1.0)
