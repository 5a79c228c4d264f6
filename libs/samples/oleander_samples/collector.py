"""Collects the samples of one step and delivers each of them once."""

import collections.abc
import threading

import expression

from oleander_base import clock, findings, invariants, metrics
from oleander_contracts import contract
from oleander_samples import hedging, inventory, labels, pulls, scheduler, steps, work

SampleWork = work.SampleWork
FinishedWork = work.FinishedWork

MAX_PENDING_CHARACTERS = 16 * 1024 * 1024
"""While so much text waits for the trainer, nothing is started."""
MAX_SILENCE_SECONDS = 120.0
"""Once a trainer has pulled, a silence of so long stops new work until it is heard again."""
ABANDONED_AFTER_SECONDS = 1800.0
"""The same for a trainer that has not pulled yet; a step may be forgotten after it."""


class StepCollector:
    """
    The samples of one step of one trainer; thread-safe.

    Nothing is started before the trainer has said what it holds, with the step or by its first
    pull: a replaced entry knows nothing and would make held samples again. The trainer's own
    statement is the only truth about what was delivered; a sample stays here until then.
    A trainer that pulls no more may have gone to another entry, which makes the same samples:
    new work stops while it is silent.
    All state is bounded by the samples of the step and by `MAX_PENDING_CHARACTERS`.
    """

    def __init__(
        self,
        step: steps.Step,
        terms: contract.TrainerTerms,
        random_seed: int,
        read_now: collections.abc.Callable[[], float],
        policy: hedging.StragglerPolicy | None = None,
    ) -> None:
        self._step = step
        self._digest = step.digest
        self._total = step.sample_count
        self._staleness_bound = terms.staleness_bound
        self._read_now = read_now
        self._changed = threading.Condition()
        policy = policy or hedging.StragglerPolicy(terms.hedge_percent)
        max_discarded_percent = (
            scheduler.MAX_DISCARDED_PERCENT
            if terms.objective is contract.Objective.STALENESS
            else 0
        )
        self._scheduler = scheduler.WorkScheduler(step, policy, random_seed, max_discarded_percent)
        self._inventory = inventory.Inventory(step.sample_count)
        self._version = 0
        self._last_contact_at = read_now()
        self._is_started = False
        self._is_closed = False
        self._latest_pull_number = 0
        self._raise_version(step.version)
        if step.held is not None:
            self._set_held(step.held)

    @property
    def step(self) -> steps.Step:
        """What is collected."""
        return self._step

    @property
    def digest(self) -> str:
        """The digest of the step's groups."""
        return self._digest

    @property
    def wanted_attempts(self) -> int:
        """How many attempts make sense now: those that run and those that could start."""
        with self._changed:
            waiting = self._scheduler.waiting if self._can_start() else 0
            return self._scheduler.in_flight + waiting

    @property
    def is_complete(self) -> bool:
        """Whether every sample is whole: held, or waiting to be pulled."""
        with self._changed:
            return self._inventory.finished_count == self._total

    @property
    def is_closed(self) -> bool:
        """Whether the step has ended here."""
        with self._changed:
            return self._is_closed

    @property
    def is_abandoned(self) -> bool:
        """Whether the trainer was silent for so long that the step may be forgotten."""
        with self._changed:
            return self._measure_silence() > ABANDONED_AFTER_SECONDS

    @property
    def hedge_tokens(self) -> int:
        """The tokens that hedges have made, counted against their budget."""
        with self._changed:
            return self._scheduler.hedge_tokens

    def next_work(self) -> work.SampleWork | None:
        """
        Return what to start next, or nothing if none is due.

        Once everything has been started, this is a straggler's next attempt: a hedge, or the
        straggler itself to be moved, whose old attempt is then among the cancellations.
        """
        with self._changed:
            if not self._can_start():
                return None
            started = self._scheduler.start_next(self._read_now())
            if started is not None:
                invariants.require(
                    not self._inventory.is_finished(started.number),
                    "work-is-missing",
                    f"sample {started.number} is there already",
                )
            self._check_sample_counts()
            return started

    def record_progress(self, work_id: str, text: str, tokens: int, version: int | None) -> None:
        """Take in a piece of a stream; pieces of work that is not wanted are dropped."""
        with self._changed:
            self._scheduler.record_progress(work_id, text, tokens, version, self._read_now())

    def finish_work(
        self, work_id: str, assumption: labels.Assumption | None = None
    ) -> work.FinishedWork:
        """Take in the end of a whole answer; the first one for a sample wins."""
        with self._changed:
            sample = self._scheduler.finish(work_id, assumption, self._read_now())
            if sample.is_error():
                return work.FinishedWork(sample.error)
            redundant = self._scheduler.stop_sample(sample.ok.number)
            self._inventory.add(sample.ok)
            self._check_sample_counts()
            self._changed.notify_all()
            return work.FinishedWork(work.Outcome.KEPT, redundant)

    def fail_work(self, work_id: str) -> None:
        """Take in that work broke off; it is resumed elsewhere where that is possible."""
        with self._changed:
            self._scheduler.fail(work_id, self._read_now())
            self._check_sample_counts()

    def record_held(self, numbers: collections.abc.Iterable[int], version: int) -> None:
        """Take in what the trainer said when it registered the step; work may start now."""
        with self._changed:
            if self._is_closed:
                return
            self._record_contact(version)
            self._set_held(self._inventory.held.union(numbers))

    def record_version(self, version: int) -> None:
        """Take in the policy version of the trainer, which was just heard."""
        with self._changed:
            self._record_contact(version)

    def take_cancellations(self) -> list[str]:
        """Return work that is of no more use, each once; cancel it at its engines."""
        with self._changed:
            return self._scheduler.take_cancellations()

    def close(self) -> None:
        """End the step: cancel its work, refuse its pulls and forget its texts."""
        with self._changed:
            self._is_closed = True
            self._scheduler.cancel_all()
            self._inventory.clear()
            self._changed.notify_all()

    def pull(
        self, pull: pulls.Pull, seconds: float
    ) -> expression.Result[pulls.PullAnswer, pulls.PullRefusal]:
        """
        Return samples that the trainer does not hold, waiting a while for the first.

        A later pull ends an earlier one that still waits: only one may be answered with
        samples, or a trainer that gave up on the first would be sent them twice.
        """
        deadline = clock.start_deadline(seconds)
        with self._changed:
            refusal = self._check_pull(pull)
            if refusal is not None:
                return expression.Error(refusal)
            self._latest_pull_number += 1
            pull_number = self._latest_pull_number
            self._record_contact(pull.version)
            self._set_held(pull.held)
            self._changed.notify_all()
            while True:
                refused = self._check_latest_pull(pull_number)
                if refused is not None:
                    return expression.Error(pulls.PullRefusal(refused))
                answer = self._build_answer(pull)
                if answer.samples or answer.complete or deadline.is_past:
                    fresh = self._inventory.record_offered(answer)
                    steps.count_samples(self._step, metrics.SAMPLES_DELIVERED, fresh)
                    return expression.Ok(answer)
                self._changed.wait(deadline.remaining)

    def _check_pull(self, pull: pulls.Pull) -> pulls.PullRefusal | None:
        if self._is_closed:
            return pulls.PullRefusal(pulls.RefusalReason.STEP_UNKNOWN)
        if pull.incarnation < self._step.incarnation:
            return pulls.PullRefusal(pulls.RefusalReason.SUPERSEDED)
        if pull.incarnation > self._step.incarnation:
            return pulls.PullRefusal(pulls.RefusalReason.STEP_UNKNOWN)
        highest = max(pull.held, default=0)
        if highest >= self._total:
            finding = findings.Finding("held", f"{highest} is outside 0-{self._total - 1}")
            return pulls.PullRefusal(pulls.RefusalReason.BAD_HELD, findings.Findings((finding,)))
        return None

    def _check_latest_pull(self, pull_number: int) -> pulls.RefusalReason | None:
        if self._is_closed:
            return pulls.RefusalReason.STEP_UNKNOWN
        if pull_number != self._latest_pull_number:
            return pulls.RefusalReason.SUPERSEDED
        return None

    def _build_answer(self, pull: pulls.Pull) -> pulls.PullAnswer:
        samples = self._inventory.choose_pending(pull.max_samples)
        oldest_version = self._find_oldest_allowed_version()
        for sample in samples:
            invariants.require(
                sample.number not in pull.held,
                "pull-excludes-held",
                f"sample {sample.number} is held",
            )
            invariants.require(
                sample.oldest_version >= oldest_version,
                "pull-is-fresh",
                f"sample {sample.number} has {sample.label}, too old for {self._version}",
            )
        complete = len(pull.held) + len(samples) == self._total
        return pulls.PullAnswer(self._step.step, self._version, complete, samples)

    def _can_start(self) -> bool:
        if not self._is_started or self._is_closed:
            return False
        patience = MAX_SILENCE_SECONDS if self._latest_pull_number else ABANDONED_AFTER_SECONDS
        if self._measure_silence() > patience:
            return False
        return self._inventory.pending_characters < MAX_PENDING_CHARACTERS

    def _measure_silence(self) -> float:
        return self._read_now() - self._last_contact_at

    def _record_contact(self, version: int) -> None:
        self._last_contact_at = self._read_now()
        self._raise_version(version)

    def _find_oldest_allowed_version(self) -> int:
        return max(0, self._version - self._staleness_bound)

    def _raise_version(self, version: int) -> None:
        """Drop what the trainer's version made stale; a version that comes late lowers nothing."""
        if version <= self._version:
            return
        self._version = version
        now = self._read_now()
        oldest_version = self._find_oldest_allowed_version()
        self._scheduler.raise_oldest_version(oldest_version, now)
        for number in self._inventory.drop_stale(oldest_version):
            steps.count_samples(self._step, metrics.SAMPLES_STALE)
            steps.count_samples(self._step, metrics.SAMPLES_REMADE)
            self._scheduler.restart_sample(number, now)

    def _set_held(self, numbers: frozenset[int]) -> None:
        """Take the trainer's word: stop making what it has, make again what it lost."""
        self._is_started = True
        added, gone = self._inventory.update_held(numbers)
        for number in added:
            self._scheduler.cancel(self._scheduler.stop_sample(number))
        for number in gone:
            self._scheduler.restart_sample(number, self._read_now())
        self._check_sample_counts()

    def _check_sample_counts(self) -> None:
        """Check that each sample is in one place: there, being made, or waiting."""
        if self._is_closed:
            return
        places = (self._inventory.finished_count, self._scheduler.running, self._scheduler.waiting)
        invariants.require(
            sum(places) == self._total, "sample-in-one-place", f"{places} of {self._total}"
        )
