"""Batches in the platform's log: appended by any process, read by all."""

import collections
import dataclasses

import expression

from oleander_base import clock, identifiers, log, tasks
from oleander_batches import batch_table, content, index_reader, records, submission
from oleander_platform import recordlog

_RETRY_SECONDS = 0.2
"""Between tries while the log does not answer."""
_MAX_ACCEPTED_HERE = 256
"""Batches remembered as accepted by this process; it matters for seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class ResultPage:
    """The results from a position on."""

    total: int
    results: tuple[submission.ItemResult, ...]


class BatchJournal:
    """
    The one place that writes batches and reads their texts; safe to use from several threads.

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
        self._index = index_reader.IndexReader(log_service, group, keep_seconds)
        self._accepted_here: collections.deque[str] = collections.deque(maxlen=_MAX_ACCEPTED_HERE)

    @property
    def index(self) -> index_reader.IndexReader:
        """What is known of batches, and the waits for more."""
        return self._index

    def was_accepted_here(self, batch_id: str) -> bool:
        """Tell whether this process accepted a batch, in the last seconds at least."""
        return batch_id in self._accepted_here

    def find_runner_partition(self, batch: batch_table.Batch) -> int:
        """
        Return the partition whose owner runs a batch: the same for all batches of a model.

        The runner knows what it has at each engine. With one for each batch, a trainer's steps in
        a row filled the engines without knowing of each other, and each opened connections anew.
        """
        return (
            identifiers.hash_text(f"{batch.accepted.host}\n{batch.accepted.model}")
            % self._partitions
        )

    def accept(
        self, accepted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
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
            kept.ok.record_count,
            len(accepted.items),
            accepted.organisation,
        )
        self._accepted_here.append(accepted.batch_id)
        return self._append_index([record], deadline)

    def end(
        self, batch_id: str, deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
        """Record that a trainer wants no more of a batch."""
        ended = self._append_index([records.Ended(batch_id)], deadline)
        if ended.is_ok():
            self._index.apply_appended(records.Ended(batch_id))
        return ended

    def append_results(
        self, batch_id: str, results: list[tuple[int, submission.ItemResult]]
    ) -> expression.Result[None, content.JournalFailure]:
        """Keep results, by the numbers of their items; safe to repeat after any failure."""
        contents = [submission.encode_result(result) for _, result in results]
        appended = self._content.append(batch_id, contents)
        if appended.is_error():
            return expression.Error(appended.error)
        index: list[records.IndexRecord] = [
            records.Finished(batch_id, number, appended.ok + place)
            for place, (number, _) in enumerate(results)
        ]
        return self._append_index(index, clock.start_deadline(content.APPEND_TIMEOUT_SECONDS))

    def append_partials(
        self, batch_id: str, partials: list[submission.PartialText]
    ) -> expression.Result[None, content.JournalFailure]:
        """Keep the starts of texts, so that another process can go on from them."""
        contents = [submission.encode_partial(partial) for partial in partials]
        appended = self._content.append(batch_id, contents)
        if appended.is_error():
            return expression.Error(appended.error)
        index: list[records.IndexRecord] = [
            records.Partial(batch_id, item.item_number, appended.ok + place, item.events)
            for place, item in enumerate(partials)
        ]
        return self._append_index(index, clock.start_deadline(content.APPEND_TIMEOUT_SECONDS))

    def record_runner(
        self, batch_ids: list[str], runner: str
    ) -> expression.Result[None, content.JournalFailure]:
        """Tell all processes who runs batches; nobody, where the name is empty."""
        index: list[records.IndexRecord] = [records.Taken(name, runner) for name in batch_ids]
        return self._append_index(index, clock.start_deadline(content.APPEND_TIMEOUT_SECONDS))

    def read_results(
        self, batch: batch_table.Batch, after: int, deadline: clock.Deadline
    ) -> expression.Result[ResultPage, content.JournalFailure]:
        """Return results from a position on: at least one where there is one."""
        places = self._index.list_result_locations(batch, after)
        if not places:
            return expression.Ok(ResultPage(batch.total, ()))
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
                return expression.Error(content.JournalFailure(str(decoded.error), False))
            results.append(decoded.ok)
        if not results:
            return expression.Error(
                content.JournalFailure("a result's content is not kept any more", False)
            )
        return expression.Ok(ResultPage(batch.total, tuple(results)))

    def read_partials(
        self, batch: batch_table.Batch, deadline: clock.Deadline
    ) -> list[submission.PartialText]:
        """
        Return the starts of a batch's texts, as many as can be read in time.

        They stand near each other, so a read from one brings many. Read one by one they would
        take seconds where the log is slow, and no item would be begun meanwhile.
        """
        offsets = self._index.list_partial_offsets(batch)
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
        self, batch: batch_table.Batch, deadline: clock.Deadline
    ) -> expression.Result[submission.Submission, content.JournalFailure]:
        """Return what a trainer handed in."""
        return self._content.read_submission(batch.accepted, deadline)

    def _append_index(
        self, items: list[records.IndexRecord], deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
        """Append until an answer comes or time is up; a record that stands twice does no harm."""
        contents = [records.encode_record(item) for item in items]
        may_have_effect = False
        while True:
            attempt = deadline.earlier(content.APPEND_TIMEOUT_SECONDS)
            appended = self._log.append(
                index_reader.TOPIC, index_reader.PARTITION, contents, attempt
            )
            if appended.is_ok():
                return expression.Ok(None)
            may_have_effect = may_have_effect or appended.error.may_have_effect
            if not may_have_effect or deadline.remaining < _RETRY_SECONDS:
                return expression.Error(
                    content.JournalFailure(appended.error.detail, may_have_effect)
                )
            self._group.pause(_RETRY_SECONDS / 2)
