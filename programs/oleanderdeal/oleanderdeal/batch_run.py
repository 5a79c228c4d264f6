"""One batch that this process runs: what its items have come to."""

import collections
import dataclasses
import threading

from oleander_base import clock, identifiers
from oleander_batches import batch_table, submission
from oleander_direct import servers
from oleander_routing import router
from oleander_samples import hedging, scheduler, steps, work
from oleanderdeal import item_texts

POLICY = hedging.StragglerPolicy(
    hedge_percent=0,
    allows_migration=True,
    min_finished_percent=10,
    min_wait_seconds=1.0,
    max_backoff_seconds=1.0,
    scan_interval_seconds=0.4,
)
"""A straggler is cancelled before it goes on elsewhere, never raced: two engines that go on with
one request at once are forbidden where this runs. Moving is cheap, so it begins early and is
looked for often. An attempt without a token may be waiting for a place. A failed item is tried
again before its step counts it as forgotten."""
_MILLISECONDS = 1000
_LEAST_URGENT = 5
_MOST_URGENT = 1
_URGENCIES = 4
"""Steps between the two over the time in which a batch is due."""


@dataclasses.dataclass(slots=True, frozen=True)
class ItemWork:
    """An item that is to be generated now."""

    run: "BatchRun"
    work: work.SampleWork
    item: submission.Item
    item_number: int
    """Its place in the submission."""
    resumed_events: int
    urgency: int
    expected_events: float
    """How many are expected to be made yet."""

    @property
    def call(self) -> servers.CallRequest:
        """The request that makes it."""
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
    """The items of one batch that have no result yet; thread-safe."""

    def __init__(
        self,
        batch: batch_table.Batch,
        submitted: submission.Submission,
        event_tokens: int,
    ) -> None:
        self._batch = batch
        self._submitted = submitted
        self._event_tokens = event_tokens
        self._lock = threading.Lock()
        self._attempt_ended = threading.Condition(self._lock)
        step = _build_step(submitted, event_tokens)
        seed = identifiers.hash_text(submitted.batch_id)
        self._scheduler = scheduler.WorkScheduler(step, POLICY, seed)
        self._scheduler.raise_oldest_version(submitted.oldest_version, clock.read_now())
        self._errors: collections.Counter[int] = collections.Counter()
        self._cancelled: set[str] = set()
        self._last_servers: dict[int, str] = {}
        self._is_stopped = False
        self._seen_events: dict[str, int] = {}
        self._kept_events: dict[int, int] = {}
        self._results: dict[int, submission.ItemResult] = {}
        self._known_finished: set[int] = set()

    @property
    def batch(self) -> batch_table.Batch:
        """The batch as the index tells of it."""
        return self._batch

    @property
    def submitted(self) -> submission.Submission:
        """What the trainer handed in."""
        return self._submitted

    @property
    def age_seconds(self) -> float:
        """How long ago this process read of the batch."""
        return clock.read_now() - self._batch.first_read_at

    @property
    def is_given_up(self) -> bool:
        """Whether no more items are generated."""
        return self._is_stopped

    @property
    def is_wanted(self) -> bool:
        """Whether results of it are still of use."""
        return not self._batch.is_ended

    def stop(self) -> None:
        """Generate no more; texts that are whole are still scored."""
        with self._lock:
            self._is_stopped = True

    def wait_stopped(self, deadline: clock.Deadline) -> None:
        """Wait until no attempt is in flight; what a stream brings until its end is kept."""
        with self._lock:
            while self._scheduler.in_flight and not deadline.is_past:
                self._attempt_ended.wait(deadline.remaining)

    def note_listed(self) -> None:
        """Take in which items have results, whoever made them."""
        with self._lock:
            for number in list(self._batch.finished_items - self._known_finished):
                self._known_finished.add(number)
                self._cancelled.update(self._scheduler.stop_sample(number))

    def give_up_all(self) -> list[tuple[int, submission.ItemResult]]:
        """Give up what has no result, and return that it is lost."""
        self.stop()
        lost = submission.ResultState.LOST
        return [
            (number, submission.ItemResult(item.item_id, lost, "", (), ""))
            for number, item in enumerate(self._submitted.items)
            if number not in self._batch.finished_items and number not in self._results
        ]

    def resume_item(self, partial: submission.PartialText) -> None:
        """Take in the start of a text that another process made."""
        if not 0 <= partial.item_number < len(self._submitted.items):
            return
        label = tuple(
            steps.LabelPart(version, made * self._event_tokens) for version, made in partial.label
        )
        start = work.Partial(partial.text, label, partial.events * self._event_tokens)
        if label and start.oldest_version >= self._submitted.oldest_version:
            with self._lock:
                self._scheduler.add_partial(partial.item_number, start)

    def note_result(self, item_number: int, result: submission.ItemResult) -> None:
        """Remember a result, for an item that comes again in a later batch."""
        self._results[item_number] = result

    def list_texts(self) -> list[item_texts.KnownText]:
        """Return what was made of each item, for a later batch that names it again."""
        with self._lock:
            found = self._scheduler.list_partials()
        starts = [self._describe_partial(number, start) for number, start in found.items()]
        known = [self._describe_known(start.item_number, start, None) for start in starts]
        return known + [
            self._describe_known(number, None, result) for number, result in self._results.items()
        ]

    def _describe_known(
        self,
        number: int,
        start: submission.PartialText | None,
        result: submission.ItemResult | None,
    ) -> item_texts.KnownText:
        submitted = self._submitted
        item_id = submitted.items[number].item_id
        return item_texts.KnownText(
            submitted.organisation, item_id, submitted.model, start, result
        )

    def reuse_texts(self, texts: item_texts.TextCache) -> list[tuple[int, submission.ItemResult]]:
        """Take over what is known of this batch's items; return results that fit as they are."""
        reused = []
        for number, item in enumerate(self._submitted.items):
            submitted = self._submitted
            known = texts.find(submitted.organisation, item.item_id, submitted.model)
            if known is None or number in self._batch.finished_items:
                continue
            if known.start is not None:
                self.resume_item(dataclasses.replace(known.start, item_number=number))
            elif known.result is not None and self._fits(known.result):
                reused.append((number, known.result))
                with self._lock:
                    self._scheduler.stop_sample(number)
        return reused

    def _fits(self, result: submission.ItemResult) -> bool:
        """Tell whether a result is whole and new enough."""
        is_done = result.state is submission.ResultState.DONE
        return is_done and min(result.versions) >= self._submitted.oldest_version

    def read_urgency(self, due_seconds: float) -> int:
        """
        Return how urgent its items are, from 1 to 5, by how much of their time is over.

        Engines admit the more urgent first. So where several entries fill one engine, the step
        that is due first goes first, without the entries knowing of each other.
        """
        passed = self.age_seconds / due_seconds
        return max(_MOST_URGENT, _LEAST_URGENT - int(_URGENCIES * passed))

    def list_grown(self, least_events: int) -> list[submission.PartialText]:
        """Return the starts of texts that grew by so many events since they were last kept."""
        with self._lock:
            found = self._scheduler.list_partials()
        partials = [self._describe_partial(number, start) for number, start in found.items()]
        return [
            partial
            for partial in partials
            if partial.events >= self._kept_events.get(partial.item_number, 0) + least_events
        ]

    def note_kept(self, partials: list[submission.PartialText]) -> None:
        """Take in that these starts stand in the log."""
        for partial in partials:
            self._kept_events[partial.item_number] = partial.events

    def start_next(
        self, now: float, due_seconds: float, spare: router.SparePeer | None
    ) -> ItemWork | None:
        """Return the next item to generate, or a straggler to move to a spare place."""
        spare_rate = (
            self._event_tokens * _MILLISECONDS / spare.event_ms
            if spare is not None and spare.event_ms
            else None
        )
        with self._lock:
            if self._is_stopped or self._batch.is_ended:
                return None
            started = self._scheduler.start_next(now, spare is not None, spare_rate)
            self._cancelled.update(self._scheduler.take_cancellations())
        if started is None:
            return None
        events = started.resumed_tokens // self._event_tokens
        item = self._submitted.items[started.number]
        urgency = self.read_urgency(due_seconds)
        expected = started.expected_tokens / self._event_tokens
        return ItemWork(self, started, item, started.number, events, urgency, expected)

    def is_cancelled(self, item: ItemWork) -> bool:
        """Tell whether an attempt is of no more use."""
        return self._is_stopped or self._batch.is_ended or item.work.work_id in self._cancelled

    def find_last_server(self, item_number: int) -> frozenset[str]:
        """Return the server that had an item last; its next attempt goes elsewhere."""
        name = self._last_servers.get(item_number)
        return frozenset() if name is None else frozenset((name,))

    def note_server(self, item_number: int, server_id: str) -> None:
        """Remember who generates an item."""
        self._last_servers[item_number] = server_id

    def note_event(self, item: ItemWork, text: str, version: int | None) -> None:
        """Take in the next event of a text; events are joined by line feeds."""
        with self._lock:
            joined = text if self._is_first(item) else f"\n{text}"
            now = clock.read_now()
            self._scheduler.record_progress(
                item.work.work_id, joined, self._event_tokens, version, now
            )
            self._cancelled.update(self._scheduler.take_cancellations())
            self._seen_events[item.work.work_id] = self._seen_events.get(item.work.work_id, 0) + 1

    def finish(self, item: ItemWork) -> steps.Sample | None:
        """Take in the end of a whole text; return it unless it can't be used."""
        with self._lock:
            self._forget(item)
            built = self._scheduler.finish(item.work.work_id, None, clock.read_now())
        return built.ok if built.is_ok() else None

    def fail(self, item: ItemWork) -> None:
        """Take in that an attempt broke off; the item is resumed or made anew."""
        with self._lock:
            self._forget(item)
            self._scheduler.fail(item.work.work_id, clock.read_now())

    def put_back(self, item: ItemWork, delay_seconds: float = 0.0) -> None:
        """Let an item wait again whose attempt was refused, or not sent, before it began."""
        with self._lock:
            self._forget(item)
            self._scheduler.requeue_refused(item.work.work_id, clock.read_now() + delay_seconds)

    def count_error(self, item_number: int) -> int:
        """Count an answer by which the server failed; return how many there were."""
        with self._lock:
            self._errors[item_number] += 1
            return self._errors[item_number]

    def _is_first(self, item: ItemWork) -> bool:
        return not item.resumed_events and not self._seen_events.get(item.work.work_id)

    def _forget(self, item: ItemWork) -> None:
        self._attempt_ended.notify_all()
        self._seen_events.pop(item.work.work_id, None)
        self._cancelled.discard(item.work.work_id)

    def _describe_partial(self, number: int, start: work.Partial) -> submission.PartialText:
        label = tuple((part.version, part.tokens // self._event_tokens) for part in start.label)
        events = start.tokens // self._event_tokens
        return submission.PartialText(number, start.text, events, label)


def _build_step(submitted: submission.Submission, event_tokens: int) -> steps.Step:
    """
    Return the step with a group for each item, since each has a guess of its own length.

    An event more than the bound is allowed for: the last one may be counted as a full one.
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
