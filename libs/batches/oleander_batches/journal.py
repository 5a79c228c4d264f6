"""Batches in the platform's log: appended by any process, read by all."""

import collections
import dataclasses
import threading

import expression

from oleander_base import clock, identifiers, log, metrics, tasks
from oleander_batches import content, fold, records, submission
from oleander_platform import recordlog

INDEX_TOPIC = "oleander.index"
_INDEX_PARTITION = 0
"""All of the index is one partition: its order is the order of the results in each batch. A record
has some 80 bytes; a partition of 20 MB/s carries a hundred times the results aimed at."""
_READ_SECONDS = 1.5
"""Half a second above the wait: round trips take some ms, a slow store a quarter second."""
_WAIT_MS = 1000
"""Below the configuration's bound, so that a connection gone silent is noticed in time."""
_PROBE_SECONDS = 0.6
"""For a read while the log does not answer; it waits for no record, and a slow store takes a
quarter second. So an entry that was cut off is of use again within a second."""
_PAUSE_SECONDS = 0.2
"""Between reads of the index: results of the same moment come in one read."""
_WANTED_PAUSE_SECONDS = 0.02
"""The same while a caller or a run of this process waits for the next records."""
_AGAIN_SECONDS = 0.2
"""Between tries while the log does not answer: five calls a second from each entry."""
_MOST_ACCEPTED = 256
"""Batches remembered as accepted by this process; it matters for seconds."""
_FORGET_EVERY_SECONDS = 5.0
"""Batches are kept for minutes; looking each few seconds costs nothing."""


@dataclasses.dataclass(slots=True, frozen=True)
class Listing:
    """The results from a position on."""

    total: int
    results: tuple[submission.ItemResult, ...]


class BatchJournal:
    """
    The one place that reads and writes batches; safe to use from several threads.

    Texts stand in the content, some partitions by the batch's name; the index has a short record
    for each that points there. Every process follows the index alone: following the texts too
    would cost each process all of them, which grows with the square of the fleet.
    """

    def __init__(
        self,
        log_service: recordlog.RecordLog,
        group: tasks.TaskGroup,
        partitions: int,
        keep_seconds: float,
    ) -> None:
        self._log = log_service
        self._group = group
        self._partitions = partitions
        self._content = content.BatchContent(log_service, partitions)
        self._keep_seconds = keep_seconds
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._fold = fold.BatchFold()
        self._next_offset = 0
        self._complete_at = 0.0
        self._waiters = 0
        self._expects_updates = False
        self._is_wanted = threading.Condition(self._lock)
        self._accepted_here: collections.deque[str] = collections.deque(maxlen=_MOST_ACCEPTED)
        self._is_caught_up = False
        self._is_cut = False

    @property
    def is_caught_up(self) -> bool:
        """Whether the index was read to its end at least once."""
        return self._is_caught_up

    @property
    def is_cut(self) -> bool:
        """
        Whether the last read of the index had no answer in its time.

        What a trainer asks then is refused at once: it asks another entry, which may reach the
        log. Held for the usual second or two, a submission began by as much later.
        """
        return self._is_cut

    @property
    def complete_at(self) -> float:
        """As of when everything that stood in the index is known."""
        return self._complete_at

    def was_accepted_here(self, batch_id: str) -> bool:
        """Tell whether this process accepted a batch, in the last seconds at least."""
        return batch_id in self._accepted_here

    def find_runner_partition(self, batch: fold.Batch) -> int:
        """
        Return the partition whose owner runs a batch: the same for all batches of a model.

        The runner knows what it has at each engine. With one for each batch, a trainer's steps in
        a row filled the engines without knowing of each other, and each opened connections anew.
        """
        return (
            identifiers.hash_text(f"{batch.accepted.host}\n{batch.accepted.model}")
            % self._partitions
        )

    def follow(self) -> None:
        """Read the index as it grows, until the group stops."""
        forget_at = clock.read_now() + _FORGET_EVERY_SECONDS
        while not self._group.is_stopping:
            wait_ms = _WAIT_MS if self._is_caught_up and not self._is_cut else 0
            seconds = _PROBE_SECONDS if self._is_cut else _READ_SECONDS
            if not self._read_on(wait_ms, clock.start_deadline(seconds)):
                self._group.pause(_AGAIN_SECONDS)
            if clock.read_now() >= forget_at:
                forget_at = clock.read_now() + _FORGET_EVERY_SECONDS
                with self._lock:
                    self._fold.forget_older(self._keep_seconds)
            self._group.pause(_WANTED_PAUSE_SECONDS)
            self._pause_unless_wanted()

    def expect_updates(self, is_expected: bool) -> None:
        """Set whether batches run here, whose owner reads the index without a longer pause."""
        with self._is_wanted:
            self._expects_updates = is_expected
            self._is_wanted.notify_all()

    @property
    def _has_waiters(self) -> bool:
        return self._waiters > 0 or self._expects_updates

    def _pause_unless_wanted(self) -> None:
        """
        Pause until the next read of the index, or until somebody waits for it.

        Few entries run batches or have a trainer waiting. They read on at once, or each step
        would begin and end later for it; the others read a few times a second.
        """
        deadline = clock.start_deadline(_PAUSE_SECONDS - _WANTED_PAUSE_SECONDS)
        with self._is_wanted:
            while not self._has_waiters and not deadline.is_past and not self._group.is_stopping:
                self._is_wanted.wait(deadline.remaining)

    def refresh(self, since: float, deadline: clock.Deadline) -> bool:
        """Make sure that all that stood in the index at a moment is known; return success."""
        while self._complete_at < since:
            if deadline.is_past or not self._read_on(0, deadline):
                return False
        return True

    def find(self, batch_id: str) -> fold.Batch | None:
        """Return a batch as known now; its fields go on changing."""
        with self._lock:
            return self._fold.find(batch_id)

    def list_open(self) -> list[fold.Batch]:
        """Return the batches with items that may be run, in the order of acceptance."""
        with self._lock:
            return [batch for batch in self._fold.list_batches() if batch.is_open]

    def wait_longer(self, batch: fold.Batch, after: int, deadline: clock.Deadline) -> bool:
        """Wait until a batch has more results than so many, or can't be known to have them."""
        with self._changed:
            self._waiters += 1
            self._is_wanted.notify_all()
            try:
                while len(batch.listed) <= after and not batch.is_ended and not self._is_cut:
                    if deadline.is_past:
                        return False
                    self._changed.wait(deadline.remaining)
                return len(batch.listed) > after
            finally:
                self._waiters -= 1

    def wait_change(self, seconds: float) -> None:
        """Wait until the index has grown, until woken, or for so long."""
        with self._changed:
            self._changed.wait(seconds)

    def wake(self) -> None:
        """Wake the threads that wait for a change, as if the index had grown."""
        with self._changed:
            self._changed.notify_all()

    def accept(
        self, accepted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[None, content.NotDone]:
        """
        Keep a submission; an error that may have had effect must not be called a refusal.

        The content alone means nothing, so only the index record decides: where its append was
        not answered it may appear later, and the batch will run.
        """
        kept = self._content.append_submission(accepted, deadline)
        if kept.is_error():
            return expression.Error(kept.error)
        record = records.Accepted(
            accepted.batch_id,
            accepted.host,
            accepted.path,
            accepted.model,
            accepted.step,
            accepted.oldest_version,
            kept.ok.first_offset,
            kept.ok.records,
            len(accepted.items),
            accepted.organisation,
        )
        self._accepted_here.append(accepted.batch_id)
        return self._append_index([record], deadline)

    def end(
        self, batch_id: str, deadline: clock.Deadline
    ) -> expression.Result[None, content.NotDone]:
        """Record that a trainer wants no more of a batch."""
        ended = self._append_index([records.Ended(batch_id)], deadline)
        if ended.is_ok():
            with self._changed:
                self._fold.apply(records.Ended(batch_id))
                self._changed.notify_all()
        return ended

    def finish(
        self, batch_id: str, results: list[tuple[int, submission.ItemResult]]
    ) -> expression.Result[None, content.NotDone]:
        """Keep results, by the numbers of their items; safe to repeat after any failure."""
        contents = [submission.encode_result(result) for _, result in results]
        appended = self._content.append(batch_id, contents)
        if appended.is_error():
            return expression.Error(appended.error)
        index: list[records.IndexRecord] = [
            records.Finished(batch_id, number, appended.ok + place)
            for place, (number, _) in enumerate(results)
        ]
        return self._append_index(index, clock.start_deadline(content.APPEND_SECONDS))

    def keep_partials(
        self, batch_id: str, partials: list[submission.PartialText]
    ) -> expression.Result[None, content.NotDone]:
        """Keep the starts of texts, so that another process can go on from them."""
        contents = [submission.encode_partial(partial) for partial in partials]
        appended = self._content.append(batch_id, contents)
        if appended.is_error():
            return expression.Error(appended.error)
        index: list[records.IndexRecord] = [
            records.Partial(batch_id, item.item_number, appended.ok + place, item.events)
            for place, item in enumerate(partials)
        ]
        return self._append_index(index, clock.start_deadline(content.APPEND_SECONDS))

    def note_runner(
        self, batch_ids: list[str], runner: str
    ) -> expression.Result[None, content.NotDone]:
        """Tell all processes who runs batches; nobody, where the name is empty."""
        index: list[records.IndexRecord] = [records.Taken(name, runner) for name in batch_ids]
        return self._append_index(index, clock.start_deadline(content.APPEND_SECONDS))

    def read_results(
        self, batch: fold.Batch, after: int, deadline: clock.Deadline
    ) -> expression.Result[Listing, content.NotDone]:
        """Return results from a position on: at least one where there is one."""
        with self._lock:
            places = batch.listed[after:]
        if not places:
            return expression.Ok(Listing(batch.total, ()))
        first = places[0].content_offset
        contents = self._content.read(batch.batch_id, first, deadline)
        if contents.is_error():
            return expression.Error(contents.error)
        results = []
        for place in places:
            found = contents.ok.get(place.content_offset)
            if found is None:
                break
            decoded = submission.decode_result(found)
            if decoded.is_error():
                return expression.Error(content.NotDone(str(decoded.error), False))
            results.append(decoded.ok)
        if not results:
            return expression.Error(
                content.NotDone("a result's content is not kept any more", False)
            )
        return expression.Ok(Listing(batch.total, tuple(results)))

    def read_partials(
        self, batch: fold.Batch, deadline: clock.Deadline
    ) -> list[submission.PartialText]:
        """
        Return the starts of a batch's texts, as many as can be read in time.

        They stand near each other, so a read from one brings many. Read one by one they would
        take seconds where the log is slow, and no item would be begun meanwhile.
        """
        with self._lock:
            offsets = sorted(place.content_offset for place in batch.partials.values())
        partials = []
        contents: dict[int, bytes] = {}
        for offset in offsets:
            if offset not in contents:
                read = self._content.read(batch.batch_id, offset, deadline)
                if read.is_error():
                    log.warn_bounded("partials-unread", read.error.detail, batch=batch.batch_id)
                    break
                contents = read.ok
            decoded = submission.decode_partial(contents.get(offset, b""))
            if decoded.is_ok():
                partials.append(decoded.ok)
            else:
                log.warn_bounded("partial-record", str(decoded.error), batch=batch.batch_id)
        return partials

    def read_submission(
        self, batch: fold.Batch, deadline: clock.Deadline
    ) -> expression.Result[submission.Submission, content.NotDone]:
        """Return what a trainer handed in."""
        return self._content.read_submission(batch.accepted, deadline)

    def _append_index(
        self, items: list[records.IndexRecord], deadline: clock.Deadline
    ) -> expression.Result[None, content.NotDone]:
        """Append until an answer comes or time is up; a record that stands twice does no harm."""
        contents = [records.encode_record(item) for item in items]
        may_have_effect = False
        while True:
            attempt = deadline.earlier(content.APPEND_SECONDS)
            appended = self._log.append(INDEX_TOPIC, _INDEX_PARTITION, contents, attempt)
            if appended.is_ok():
                return expression.Ok(None)
            may_have_effect = may_have_effect or appended.error.may_have_effect
            if not may_have_effect or deadline.remaining < _AGAIN_SECONDS:
                return expression.Error(content.NotDone(appended.error.detail, may_have_effect))
            self._group.pause(_AGAIN_SECONDS / 2)

    def _read_on(self, wait_ms: int, deadline: clock.Deadline) -> bool:
        started_at = clock.read_now()
        offset = self._next_offset
        page = self._log.read(INDEX_TOPIC, _INDEX_PARTITION, offset, wait_ms, deadline)
        if page.is_error():
            metrics.count(metrics.LOG_OUTAGES)
            log.warn_bounded("index-unread", page.error.detail)
            self._note_cut(deadline.is_past)
            return False
        with self._changed:
            self._is_cut = False
            self._apply_page(page.ok, started_at)
            self._changed.notify_all()
        return True

    def _note_cut(self, was_silent: bool) -> None:
        """Take in a failed read; a log that turned it away at once may be tried: nobody waits."""
        with self._changed:
            self._is_cut = was_silent
            self._changed.notify_all()

    def _apply_page(self, page: recordlog.RawPage, started_at: float) -> None:
        """Apply what is new in a page; another thread may have applied a part of it."""
        for record in page.records:
            if record.offset < self._next_offset:
                continue
            decoded = records.decode_record(record.content)
            if decoded.is_ok():
                self._fold.apply(decoded.ok, self._is_caught_up)
            else:
                log.warn_bounded("index-record", str(decoded.error), offset=record.offset)
            self._next_offset = record.offset + 1
        if not page.records and page.end_offset > self._next_offset:
            log.warn_bounded("index-hollow", "a page without the records that its end names")
        self._next_offset = max(self._next_offset, page.next_offset)
        if self._next_offset >= page.end_offset:
            self._complete_at = max(self._complete_at, started_at)
            self._is_caught_up = True
