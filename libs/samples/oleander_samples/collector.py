"""Collects the samples of one step and delivers them to its trainer."""

import collections.abc
import threading

import expression

from oleander_base import clock, findings, invariants, metrics
from oleander_contracts import contract
from oleander_samples import hedging, inventory, labels, pulls, scheduler, steps, work

SampleWork = work.SampleWork
FinishedWork = work.FinishedWork

MAX_PENDING_CHARACTERS = 16 * 1024 * 1024
"""No work is started while the texts pending delivery have this total length."""
MAX_SILENCE_SECONDS = 120.0
"""No work is started while a trainer that has pulled before has been silent for longer."""
ABANDONED_AFTER_SECONDS = 1800.0
"""No work is started while a trainer that has not pulled yet has been silent for longer. The step
of any trainer that has been silent for longer may be closed to admit another step."""


class StepCollector:
    """
    Collects the samples of one step of one trainer; thread-safe.

    No work is started before the trainer has stated which samples it holds, in its registration
    or in its first pull: an entry that replaces another does not know what was delivered and
    would generate held samples again. A sample is kept until the trainer states that it holds the
    sample, because nothing else shows that it was delivered.
    A trainer that stops pulling may have switched to another entry, which generates the same
    samples, so no new work is started while the trainer is silent.
    All state is bounded by the number of samples of the step and by `MAX_PENDING_CHARACTERS`.
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
        self._sample_count = step.sample_count
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
        # Whether the trainer has stated which samples it holds; no work starts before that.
        self._has_stated_held = False
        self._is_closed = False
        self._latest_pull_number = 0
        self._started_attempts = 0
        self._is_suspended = False
        self._takeover_count = 0
        self._ready_numbers: frozenset[int] = frozenset()
        self._ready_deadline = clock.Deadline(0.0)
        self._raise_version(step.version)
        if step.held is not None:
            self._set_held(step.held)

    @property
    def step(self) -> steps.Step:
        """The step as its trainer registered it."""
        return self._step

    @property
    def digest(self) -> str:
        """The digest of the step's groups, computed once."""
        return self._digest

    @property
    def wanted_attempts(self) -> int:
        """The number of running attempts plus the samples that could be started now."""
        with self._changed:
            waiting = self._scheduler.waiting if self._can_start() else 0
            return self._scheduler.in_flight + waiting

    @property
    def started_attempts(self) -> int:
        """The number of attempts started so far; above the sample count, work was repeated."""
        with self._changed:
            return self._started_attempts

    @property
    def takeover_count(self) -> int:
        """How often this entry has taken the step back from another one."""
        with self._changed:
            return self._takeover_count

    @property
    def is_complete(self) -> bool:
        """Whether every sample is held by the trainer or pending delivery."""
        with self._changed:
            return self._inventory.finished_count == self._sample_count

    @property
    def is_closed(self) -> bool:
        """Whether the step was closed at this entry."""
        with self._changed:
            return self._is_closed

    @property
    def is_abandoned(self) -> bool:
        """Whether the trainer has been silent for so long that the step may be closed."""
        with self._changed:
            return self._measure_silence() > ABANDONED_AFTER_SECONDS

    @property
    def hedge_tokens(self) -> int:
        """The number of tokens that hedges have generated, as charged to their budget."""
        with self._changed:
            return self._scheduler.hedge_tokens

    def next_work(self) -> work.SampleWork | None:
        """
        Return the next work to start, or None if there is none now.

        Once all samples have been started, this is another attempt at a straggler: either a hedge
        or a migration, whose old attempts are then among the cancellations.
        """
        with self._changed:
            if not self._can_start():
                return None
            started = self._scheduler.start_next(self._read_now())
            if started is not None:
                self._started_attempts += 1
                invariants.require(
                    not self._inventory.is_finished(started.number),
                    "work-is-missing",
                    f"sample {started.number} was started but is already finished",
                )
            self._check_sample_counts()
            return started

    def record_progress(self, work_id: str, text: str, tokens: int, version: int | None) -> None:
        """Add a piece of an attempt's stream; pieces of cancelled work are ignored."""
        with self._changed:
            self._scheduler.record_progress(work_id, text, tokens, version, self._read_now())

    def finish_work(
        self, work_id: str, assumption: labels.Assumption | None = None
    ) -> work.FinishedWork:
        """Finish an attempt whose stream has ended; the first one of a sample is kept."""
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
        """Handle the failure of an attempt; its sample is resumed or restarted later."""
        with self._changed:
            self._scheduler.fail(work_id, self._read_now())
            self._check_sample_counts()

    def hand_over_work(self, work_id: str) -> None:
        """Requeue a sample whose generation another entry receives from now on."""
        with self._changed:
            self._scheduler.hand_over(work_id, self._read_now())
            self._check_sample_counts()

    def record_held(self, numbers: collections.abc.Iterable[int], version: int) -> None:
        """Add the held samples that a repeated registration lists; from then on work may start."""
        with self._changed:
            if self._is_closed:
                return
            self._record_contact(version)
            self._set_held(self._inventory.held.union(numbers))

    def record_version(self, version: int) -> None:
        """Record contact with the trainer and the policy version that it stated."""
        with self._changed:
            self._record_contact(version)

    def expect_ready(self, numbers: frozenset[int], deadline: clock.Deadline) -> None:
        """
        Record samples that are finished elsewhere and arrive at once.

        Until the deadline, pulls wait for them: a trainer that is handed one of them alone may
        raise its version before it pulls the others, which then are stale.
        """
        with self._changed:
            self._ready_numbers = numbers
            self._ready_deadline = deadline

    def suspend(self, takeover_count: int) -> None:
        """
        Start no work until `resume`, because another entry collects the step now.

        Ignored if this entry has taken the step back after `takeover_count` was read.
        """
        with self._changed:
            if takeover_count == self._takeover_count:
                self._is_suspended = True

    def resume(self) -> bool:
        """Allow work again when the trainer is back; return whether the step was suspended."""
        with self._changed:
            was_suspended = self._is_suspended
            self._takeover_count += was_suspended
            self._is_suspended = False
            return was_suspended

    def take_cancellations(self) -> list[str]:
        """Return and clear the IDs of work that must be cancelled at its engines."""
        with self._changed:
            return self._scheduler.take_cancellations()

    def close(self) -> None:
        """Close the step: cancel its work, refuse its pulls and discard its texts."""
        with self._changed:
            self._is_closed = True
            self._scheduler.cancel_all()
            self._inventory.clear()
            self._changed.notify_all()

    def pull(
        self, pull: pulls.Pull, seconds: float
    ) -> expression.Result[pulls.PullAnswer, pulls.PullRefusal]:
        """
        Return samples that the trainer does not hold, waiting up to `seconds` for the first.

        If an earlier pull is still waiting, it is refused. If both were answered, a trainer that
        gave up on the first would be sent the same samples twice.
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
                is_full = len(answer.samples) == pull.max_samples
                may_wait = seconds > 0.0 and not is_full and not answer.complete
                if may_wait and self._is_awaiting_ready():
                    self._changed.wait(self._ready_deadline.remaining)
                    continue
                if answer.samples or answer.complete or deadline.is_past:
                    newly_offered = self._inventory.record_offered(answer)
                    steps.count_samples(self._step, metrics.SAMPLES_DELIVERED, newly_offered)
                    return expression.Ok(answer)
                self._changed.wait(deadline.remaining)

    def _is_awaiting_ready(self) -> bool:
        """Return whether samples that are finished elsewhere are still to arrive."""
        if self._ready_deadline.is_past:
            return False
        return any(not self._inventory.is_finished(number) for number in self._ready_numbers)

    def _check_pull(self, pull: pulls.Pull) -> pulls.PullRefusal | None:
        """Return why a pull must be refused, or None if it is valid for this step."""
        if self._is_closed:
            return pulls.PullRefusal(pulls.RefusalReason.STEP_UNKNOWN)
        if pull.incarnation < self._step.incarnation:
            return pulls.PullRefusal(pulls.RefusalReason.SUPERSEDED)
        if pull.incarnation > self._step.incarnation:
            return pulls.PullRefusal(pulls.RefusalReason.STEP_UNKNOWN)
        highest = max(pull.held, default=0)
        if highest >= self._sample_count:
            finding = findings.Finding("held", f"{highest} is outside 0-{self._sample_count - 1}")
            return pulls.PullRefusal(pulls.RefusalReason.BAD_HELD, findings.Findings((finding,)))
        return None

    def _check_latest_pull(self, pull_number: int) -> pulls.RefusalReason | None:
        """Return why a waiting pull must end with a refusal, or None if it may continue."""
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
                f"sample {sample.number} is offered but already held",
            )
            invariants.require(
                sample.oldest_version >= oldest_version,
                "pull-is-fresh",
                f"sample {sample.number} is stale at version {self._version}: {sample.label}",
            )
        complete = len(pull.held) + len(samples) == self._sample_count
        return pulls.PullAnswer(self._step.step, self._version, complete, samples)

    def _can_start(self) -> bool:
        """
        Return whether work may start now.

        No work may start before the trainer has stated which samples it holds, while the trainer
        is silent, or while too much text is pending delivery.
        """
        if not self._has_stated_held or self._is_closed or self._is_suspended:
            return False
        max_silence_seconds = (
            MAX_SILENCE_SECONDS if self._latest_pull_number else ABANDONED_AFTER_SECONDS
        )
        if self._measure_silence() > max_silence_seconds:
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
        """Record the trainer's version and discard stale samples; ignore an older version."""
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
        """Update the held samples: stop work on the added ones, queue the removed ones again."""
        self._has_stated_held = True
        added, removed = self._inventory.update_held(numbers)
        for number in added:
            self._scheduler.cancel(self._scheduler.stop_sample(number))
        for number in removed:
            self._scheduler.restart_sample(number, self._read_now())
        self._check_sample_counts()

    def _check_sample_counts(self) -> None:
        """Require that each sample is counted once: as finished, running or waiting."""
        if self._is_closed:
            return
        counts = (self._inventory.finished_count, self._scheduler.running, self._scheduler.waiting)
        invariants.require(
            sum(counts) == self._sample_count,
            "sample-in-one-place",
            f"{counts} of {self._sample_count}",
        )
