"""State of one batch that this process runs: progress and results of its items."""

import collections
import dataclasses
import threading

from oleander_base import clock, identifiers, log, metrics
from oleander_batches import batch_table, submission
from oleander_direct import servers
from oleander_routing import router
from oleander_samples import hedging, moves, scheduler, steps, urgency, work
from oleanderdeal import completion, item_texts

STRAGGLER_POLICY = hedging.StragglerPolicy(
    hedge_percent=0,
    allows_migration=True,
    min_finished_percent=10,
    min_wait_seconds=1.0,
    max_backoff_seconds=1.0,
    max_crash_backoff_seconds=4.0,
    scan_interval_seconds=0.4,
)
"""Stragglers are cancelled and resumed on another engine, never hedged, because the platform
forbids two engines to run one request at once. Moving an item is cheap, so the search for
stragglers begins early in a step and is frequent. An attempt without a token counts as a straggler
only after a delay, because it may still be queued at its engine. The pause before a failed item is
tried again is short enough that the item's step does not give the item up first, and below the
five seconds after which the platform takes an item that is sent nowhere for lost."""
_MAX_VERSION_WAIT_SECONDS = 0.5
"""How long servers with the weight version of a text are tried where the version must stay.
Loading weights takes longer, and so does generating a long text anew."""
_MILLISECONDS = 1000
_URGENCY_UPDATE_SECONDS = 0.1
"""Least time between two looks at all unfinished items of a batch, which tell whether its step can
be in time and which groups are nearest completion."""


@dataclasses.dataclass(slots=True, frozen=True)
class ItemWork:
    """One attempt to generate an item, with the point at which it resumes."""

    run: "BatchRun"
    work: work.SampleWork
    item: submission.Item
    item_number: int
    """Index of the item in the submission, from 0."""
    resumed_events: int
    """Number of events that earlier attempts produced, after which this attempt continues."""
    urgency: int
    """The class that is sent to the engine, from 1, the most urgent; fixed for the attempt."""
    slack_ms: int
    """The time that the attempt could wait without its step being late, when it was started."""
    standing: str
    """Whether the item yielded to others when the attempt was started: a `Standing`'s name."""
    expected_events: float
    """Number of events that the attempt is expected to produce."""
    text_version: int | None = None
    """The only weight version with which the text may be continued; None if others will do."""

    @property
    def target(self) -> str:
        """The server to which the item is moved; empty if it is not moved."""
        return self.work.move.target if self.work.move is not None else ""

    @property
    def call(self) -> servers.CallRequest:
        """The request to send to a server; its id is the item's."""
        submitted = self.run.submitted
        return servers.CallRequest(
            request_id=self.item.item_id,
            host=submitted.host,
            method="POST",
            target=self.item.path,
            headers=self.item.headers,
            body=self.item.body,
            may_repeat=True,
            organisation=submitted.organisation,
        )


class BatchRun:
    """
    Schedules the items of one batch that have no result yet; thread-safe.

    The scheduler counts in tokens. Engines send events, so each event counts as `event_tokens`.
    """

    def __init__(
        self,
        batch: batch_table.Batch,
        submitted: submission.Submission,
        event_tokens: int,
        is_single_version: bool = False,
        estimator: completion.ServerEstimator | None = None,
        times: urgency.TypicalTimes | None = None,
    ) -> None:
        """
        Create a run; with `is_single_version` each text is made by one weight version.

        Without an estimator, texts are moved by their own rate alone. `times` are the typical
        times that all runs of the process observe.
        """
        self._times = times or urgency.TypicalTimes()
        self._urgency = urgency.StepUrgency(
            batch.first_read_at, submitted.wanted_groups, self._times
        )
        self._terms: urgency.StepTerms | None = None
        """The terms by which an item was last started; None before that."""
        self._urgency_update_at = 0.0
        self._batch = batch
        self._submitted = submitted
        self._event_tokens = event_tokens
        self._is_single_version = is_single_version
        self._lock = threading.Lock()
        self._attempt_ended = threading.Condition(self._lock)
        step = _build_step(submitted, event_tokens)
        seed = identifiers.hash_text(submitted.batch_id)
        self._estimator = estimator
        self._scheduler = scheduler.WorkScheduler(
            step,
            STRAGGLER_POLICY,
            seed,
            requires_single_version=is_single_version,
            completion=_build_completion(submitted, estimator),
        )
        self._scheduler.raise_oldest_version(submitted.oldest_version, clock.read_now())
        self._errors: collections.Counter[int] = collections.Counter()
        self._cancelled: set[str] = set()
        self._last_servers: dict[int, str] = {}
        self._version_waits: dict[int, clock.Deadline] = {}
        """Until when each item's text waits to be continued with its weight version."""
        self._is_stopped = False
        self._received_events: dict[str, int] = {}
        """Events of each attempt in flight, by work id."""
        self._checkpointed_events: dict[int, int] = {}
        """Events of each item's text at its last checkpoint, by item number."""
        self._results: dict[int, submission.ItemResult] = {}
        self._known_finished: set[int] = set()

    @property
    def batch(self) -> batch_table.Batch:
        """The batch as recorded in the index."""
        return self._batch

    @property
    def submitted(self) -> submission.Submission:
        """The submission that the trainer sent."""
        return self._submitted

    @property
    def age_seconds(self) -> float:
        """Seconds since this process first read the batch in the index."""
        return clock.read_now() - self._batch.first_read_at

    @property
    def times(self) -> urgency.TypicalTimes:
        """The typical times that this process observed; runs of items add to them."""
        return self._times

    @property
    def is_slack_used_up(self) -> bool:
        """Whether a complete text must be scored at once for its step to be in time."""
        terms = self._terms
        return terms is None or self._urgency.is_slack_used_up(terms, clock.read_now())

    @property
    def is_stopped(self) -> bool:
        """Whether the run starts no more items."""
        return self._is_stopped

    @property
    def is_result_wanted(self) -> bool:
        """Whether the trainer has not ended the batch, so that results can still be read."""
        return not self._batch.is_ended

    def stop(self) -> None:
        """Start no more items and cancel those in flight; finished texts are still scored."""
        with self._lock:
            self._is_stopped = True

    def wait_stopped(self, deadline: clock.Deadline) -> None:
        """Wait until no attempt is in flight; events received meanwhile are kept."""
        with self._lock:
            while self._scheduler.in_flight and not deadline.is_past:
                self._attempt_ended.wait(deadline.remaining)

    def drop_finished_items(self) -> None:
        """Drop items with a result in the index, from any process; cancel their attempts."""
        with self._lock:
            for number in list(self._batch.finished_items - self._known_finished):
                self._known_finished.add(number)
                self._cancelled.update(self._scheduler.stop_sample(number))

    def give_up_unfinished(self) -> list[tuple[int, submission.ItemResult]]:
        """Stop the run and return a "lost" result for each item without a result."""
        self.stop()
        lost = submission.ResultState.LOST
        return [
            (number, submission.ItemResult(item.item_id, lost, "", (), ""))
            for number, item in enumerate(self._submitted.items)
            if number not in self._batch.finished_items and number not in self._results
        ]

    def restore_partial(self, partial: submission.PartialText) -> None:
        """Resume an item from a partial text; ignore texts of too old weights or a wrong index."""
        if not 0 <= partial.item_number < len(self._submitted.items):
            return
        label = tuple(
            steps.LabelPart(version, made * self._event_tokens) for version, made in partial.label
        )
        restored = work.Partial(partial.text, label, partial.events * self._event_tokens)
        if label and restored.oldest_version >= self._submitted.oldest_version:
            with self._lock:
                self._scheduler.add_partial(partial.item_number, restored)

    def record_result(self, item_number: int, result: submission.ItemResult) -> None:
        """Record a result, for reuse when a later batch contains the item again."""
        self._results[item_number] = result

    def list_known_texts(self) -> list[item_texts.KnownText]:
        """Return the partial texts and results, for later batches with the same items to reuse."""
        with self._lock:
            found = self._scheduler.list_partials()
        partials = [self._build_partial(number, start) for number, start in found.items()]
        known = [self._build_known_text(start.item_number, start, None) for start in partials]
        return known + [
            self._build_known_text(number, None, result)
            for number, result in self._results.items()
        ]

    def _build_known_text(
        self,
        number: int,
        partial: submission.PartialText | None,
        result: submission.ItemResult | None,
    ) -> item_texts.KnownText:
        submitted = self._submitted
        item_id = submitted.items[number].item_id
        return item_texts.KnownText(
            submitted.organisation, item_id, submitted.model, partial, result
        )

    def reuse_texts(self, texts: item_texts.TextCache) -> list[tuple[int, submission.ItemResult]]:
        """Resume items from cached partial texts; return cached results that can be used."""
        reused = []
        for number, item in enumerate(self._submitted.items):
            submitted = self._submitted
            known = texts.find(submitted.organisation, item.item_id, submitted.model)
            if known is None or number in self._batch.finished_items:
                continue
            if known.partial is not None:
                self.restore_partial(dataclasses.replace(known.partial, item_number=number))
            elif known.result is not None and self._is_reusable(known.result):
                reused.append((number, known.result))
                with self._lock:
                    self._scheduler.stop_sample(number)
        return reused

    def _is_reusable(self, result: submission.ItemResult) -> bool:
        """Return whether a result is complete and of weight versions that this batch allows."""
        is_done = result.state is submission.ResultState.DONE
        is_fresh = is_done and min(result.versions) >= self._submitted.oldest_version
        return is_fresh and self._has_allowed_versions(result)

    def check_result(self, item_number: int, result: submission.ItemResult) -> bool:
        """
        Return whether a result may be listed; otherwise queue its item to be generated anew.

        This is the last check before a result is listed. It fails only if a fault of this program
        joined texts of several weight versions where the route requires a single one.
        """
        if self._has_allowed_versions(result):
            return True
        with self._lock:
            self._scheduler.restart_sample(item_number, clock.read_now())
        metrics.count(metrics.RESULTS_MIXED)
        log.logger.bind(
            event="result-mixed",
            id=result.item_id,
            batch=self._submitted.batch_id,
            versions=result.versions,
        ).error("a result with several weight versions is not listed")
        return False

    def _has_allowed_versions(self, result: submission.ItemResult) -> bool:
        return not self._is_single_version or len(set(result.versions)) <= 1

    def compute_urgency(self, now: float, terms: urgency.StepTerms) -> urgency.Urgency | None:
        """Return the urgency of the item that starts next, or None if no item is due to start."""
        with self._lock:
            self._update_urgency(now, terms)
            number = self._scheduler.peek_next(now)
            if self._is_stopped or number is None:
                return None
            return self._urgency.rate(self._describe_item(number), terms, now)

    def _update_urgency(self, now: float, terms: urgency.StepTerms) -> None:
        """Update which groups are wanted and whether the step can be in time, if this is due."""
        if now < self._urgency_update_at:
            return
        self._urgency_update_at = now + _URGENCY_UPDATE_SECONDS
        was_late = self._urgency.is_late
        unfinished = [
            self._describe_item(number)
            for number in range(len(self._submitted.items))
            if number not in self._batch.finished_items and number not in self._results
        ]
        groups = {item.group for item in self._submitted.items}
        finished = len(groups) - len({item.group for item in unfinished})
        self._urgency.update(unfinished, finished, terms, now)
        yielding = self._urgency.find_yielding_groups(terms, now)
        self._scheduler.set_deferred(item.number for item in unfinished if item.group in yielding)
        if self._urgency.is_late and not was_late:
            self._log_late(now, terms, unfinished)

    def _log_late(
        self, now: float, terms: urgency.StepTerms, unfinished: list[urgency.UnfinishedItem]
    ) -> None:
        metrics.count(metrics.STEPS_LATE)
        log.logger.bind(
            event="step-late",
            batch=self._submitted.batch_id,
            age_ms=int((now - self._batch.first_read_at) * _MILLISECONDS),
            due_ms=int(terms.due_seconds * _MILLISECONDS),
            unfinished=len(unfinished),
            longest_events=int(max(item.remaining_events for item in unfinished)),
        ).info("it can't meet its due time; for some time its items yield to steps that can")

    def _describe_item(self, number: int) -> urgency.UnfinishedItem:
        remaining = self._scheduler.predict_remaining(number) / self._event_tokens
        return urgency.UnfinishedItem(number, self._submitted.items[number].group, remaining)

    def list_grown_partials(self, min_new_events: int) -> list[submission.PartialText]:
        """Return partial texts with at least `min_new_events` since their last checkpoint."""
        with self._lock:
            found = self._scheduler.list_partials()
        partials = [self._build_partial(number, start) for number, start in found.items()]
        return [
            partial
            for partial in partials
            if partial.events
            >= self._checkpointed_events.get(partial.item_number, 0) + min_new_events
        ]

    def record_checkpointed(self, partials: list[submission.PartialText]) -> None:
        """Record that these partial texts are written to the log."""
        for partial in partials:
            self._checkpointed_events[partial.item_number] = partial.events

    def start_next(
        self, now: float, terms: urgency.StepTerms, spare: router.FreePeer | None
    ) -> ItemWork | None:
        """Return the next item to generate, or a straggler to move to the spare server."""
        spare_version = spare.version if spare is not None else None
        spare_rate = (
            self._event_tokens * _MILLISECONDS / spare.event_interval_ms
            if spare is not None and spare.event_interval_ms
            else None
        )
        with self._lock:
            if self._is_stopped or self._batch.is_ended:
                return None
            self._terms = terms
            self._update_urgency(now, terms)
            started = self._scheduler.start_next(now, spare is not None, spare_rate, spare_version)
            self._cancelled.update(self._scheduler.take_cancellations())
            if started is None:
                return None
            rated = self._urgency.start(self._describe_item(started.number), terms, now)
        if self._estimator is not None and started.move is not None:
            self._estimator.record_move(started.move, self._submitted)
        resumed_events = started.resumed_tokens // self._event_tokens
        item = self._submitted.items[started.number]
        expected_events = started.expected_tokens / self._event_tokens
        label = started.resumed_label if self._is_single_version else ()
        text_version = label[0].version if label else None
        return ItemWork(
            self,
            started,
            item,
            started.number,
            resumed_events,
            rated.urgency_class,
            int(rated.slack_seconds * _MILLISECONDS),
            rated.standing.name.lower(),
            expected_events,
            text_version,
        )

    def is_cancelled(self, item: ItemWork) -> bool:
        """Return whether an attempt should stop, because it is cancelled or its run has ended."""
        return self._is_stopped or self._batch.is_ended or item.work.work_id in self._cancelled

    def find_last_server(self, item_number: int) -> frozenset[str]:
        """Return the server of an item's last attempt, as the set to exclude from its next one."""
        name = self._last_servers.get(item_number)
        return frozenset() if name is None else frozenset((name,))

    def record_server(self, item_number: int, server_id: str) -> None:
        """Record the server that an item's attempt is sent to."""
        self._last_servers[item_number] = server_id
        if self._estimator is not None:
            self._estimator.record_server(item_number, server_id)

    def must_keep_version(self, item: ItemWork) -> bool:
        """
        Return whether an item's text is still to be continued with its weight version.

        This is given up once no server has continued it for some time: those that have the version
        refuse it, or have ended and are still listed.
        """
        if item.text_version is None:
            return False
        until = self._version_waits.setdefault(
            item.item_number, clock.start_deadline(_MAX_VERSION_WAIT_SECONDS)
        )
        return not until.is_past

    def may_continue_at(self, item: ItemWork, server: servers.Server) -> bool:
        """Return whether the text of an item may be continued with a server's weights."""
        version = server.find_version(self._submitted.model)
        return item.text_version is None or item.text_version == version

    def record_event(self, item: ItemWork, text: str, version: int | None) -> None:
        """Append the next event of a text; events are joined by line feeds."""
        with self._lock:
            joined = text if self._is_first(item) else f"\n{text}"
            now = clock.read_now()
            self._scheduler.record_progress(
                item.work.work_id, joined, self._event_tokens, version, now
            )
            self._cancelled.update(self._scheduler.take_cancellations())
            self._version_waits.pop(item.item_number, None)
            self._received_events[item.work.work_id] = (
                self._received_events.get(item.work.work_id, 0) + 1
            )

    def finish(self, item: ItemWork) -> steps.Sample | None:
        """Finish an item's text and return it, or `None` if it is unusable."""
        with self._lock:
            self._clear_attempt(item)
            built = self._scheduler.finish(item.work.work_id, None, clock.read_now())
        return built.ok if built.is_ok() else None

    def fail(self, item: ItemWork, has_ended_server: bool = False) -> None:
        """Record a failed attempt; the item is resumed or generated anew."""
        with self._lock:
            self._clear_attempt(item)
            self._scheduler.fail(item.work.work_id, clock.read_now(), has_ended_server)

    def settle(self, item: ItemWork) -> None:
        """Record that an item has its final result, so that it is not run again."""
        with self._lock:
            self._cancelled.update(self._scheduler.stop_sample(item.item_number))
            self._clear_attempt(item)

    def settle_items(self, numbers: set[int]) -> None:
        """Record that items have final results that another run of this process produced."""
        with self._lock:
            for number in numbers:
                self._cancelled.update(self._scheduler.stop_sample(number))

    def requeue(self, item: ItemWork, delay_seconds: float = 0.0) -> None:
        """Queue an item whose attempt was refused or never sent; it may start after the delay."""
        with self._lock:
            self._clear_attempt(item)
            self._scheduler.requeue_refused(item.work.work_id, clock.read_now() + delay_seconds)

    def restart(self, item: ItemWork) -> None:
        """Queue an item whose attempt was not sent, to be generated from the start."""
        with self._lock:
            self._clear_attempt(item)
            self._scheduler.restart(item.work.work_id, clock.read_now())
        metrics.count(metrics.ITEMS_RESTARTED)
        log.logger.bind(
            event="item-restarted",
            id=item.item.item_id,
            batch=self._submitted.batch_id,
            events=item.resumed_events,
            version=item.text_version,
        ).info("no server accepts its text with the version that the text has")

    def count_error(self, item_number: int) -> int:
        """Count a server error for an item; return the item's total."""
        with self._lock:
            self._errors[item_number] += 1
            return self._errors[item_number]

    def _is_first(self, item: ItemWork) -> bool:
        return not item.resumed_events and not self._received_events.get(item.work.work_id)

    def _clear_attempt(self, item: ItemWork) -> None:
        self._attempt_ended.notify_all()
        self._received_events.pop(item.work.work_id, None)
        self._cancelled.discard(item.work.work_id)

    def _build_partial(self, number: int, partial: work.Partial) -> submission.PartialText:
        label = tuple((part.version, part.tokens // self._event_tokens) for part in partial.label)
        events = partial.tokens // self._event_tokens
        return submission.PartialText(number, partial.text, events, label)


def _build_completion(
    submitted: submission.Submission, estimator: completion.ServerEstimator | None
) -> moves.StepCompletion | None:
    if estimator is None:
        return None
    groups = tuple(item.group for item in submitted.items)
    wanted = submitted.wanted_groups or len(set(groups))
    return moves.StepCompletion(estimator, groups, wanted)


def _build_step(submitted: submission.Submission, event_tokens: int) -> steps.Step:
    """
    Return a step with one group for each item, because each has its own expected length.

    The token bound is one event higher than the item's, because a short last event counts as a
    full one.
    """
    return steps.Step(
        customer="",
        trainer=submitted.model,
        step=submitted.step,
        incarnation=0,
        version=submitted.oldest_version,
        groups=tuple(
            steps.Group("", item.group, 1, item.tokens + event_tokens, item.expected_tokens)
            for item in submitted.items
        ),
    )
