"""Appends batches and their results to the platform's log, and reads them."""

import collections
import collections.abc
import dataclasses
import itertools

import expression

from oleander_base import clock, identifiers, log, tasks
from oleander_batches import batch_table, content, index_reader, records, submission
from oleander_platform import doubtful_writes, recordlog

_RETRY_SECONDS = 0.2
"""The least time left to repeat an append to the index; the pause before it is half of this."""
_MAX_REORDERED_RESULTS = 64
"""Results among which the first stored text is searched: as many as one append may contain."""
MAX_RESULTS_PER_APPEND = _MAX_REORDERED_RESULTS
"""Number of results that one call of `append_results` should be given at most."""
_MAX_ACCEPTED_HERE = 256
"""Maximum number of batches remembered as accepted by this process; the information is needed only
for some seconds."""
_MAX_DOUBTFUL = 256
"""Maximum number of batches of which an unanswered append is remembered, for as long as a trainer
repeats its call."""


@dataclasses.dataclass(slots=True, frozen=True)
class ResultPage:
    """Some of a batch's results, and the number of its items."""

    total: int
    results: tuple[submission.ItemResult, ...]


class BatchJournal:
    """
    The interface through which all batch texts are written and read; thread-safe.

    Texts are stored in the content topic, partitioned by batch ID. The index has a short record
    for each text that refers to it. Every process follows only the index: if every process also
    read all texts, the load would grow with the square of the number of hosts.
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
        self._acceptances = doubtful_writes.DoubtfulWrites(_MAX_DOUBTFUL)
        self._ends = doubtful_writes.DoubtfulWrites(_MAX_DOUBTFUL)

    @property
    def index(self) -> index_reader.IndexReader:
        """The reader of the index, which holds the state of all batches."""
        return self._index

    def was_accepted_here(self, batch_id: str) -> bool:
        """Return whether this process accepted a batch; only recent batches are remembered."""
        return batch_id in self._accepted_here

    def may_be_accepted(self, batch_id: str) -> bool:
        """Return whether a batch is in the index, or may be by an append of this process."""
        is_known = self._index.find(batch_id) is not None
        return is_known or self._acceptances.may_have_effect(batch_id)

    def may_be_ended(self, batch_id: str) -> bool:
        """Return whether a batch has ended, or may have by an append of this process."""
        batch = self._index.find(batch_id)
        has_ended = batch is not None and batch.is_ended
        return has_ended or self._ends.may_have_effect(batch_id)

    def find_runner_partition(self, batch: batch_table.Batch) -> int:
        """
        Return the partition whose owner runs a batch; it is the same for all batches of a model.

        A runner knows only its own load on each engine. With a different runner for each batch,
        the consecutive steps of a trainer overloaded the engines, and each runner opened its own
        connections.
        """
        return (
            identifiers.hash_text(f"{batch.accepted.host}\n{batch.accepted.model}")
            % self._partitions
        )

    def accept(
        self, accepted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
        """
        Append a submission to the content and to the index.

        Only the index record makes the batch run, so it is appended last, and not at all if the
        deadline has passed. If its append was not answered, the record may still appear; the
        failure then has `may_have_effect` set and must not be reported as a refusal. It is set as
        well if an earlier or concurrent append of the same batch may have taken effect.
        """
        return _track_write(
            self._acceptances,
            accepted.batch_id,
            lambda: self._append_submission(accepted, deadline),
        )

    def _append_submission(
        self, accepted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
        appended = self._content.append_submission(accepted, deadline)
        if appended.is_error():
            return expression.Error(appended.error)
        if deadline.is_past:
            return expression.Error(content.JournalFailure("no time is left", False))
        record = records.Accepted(
            accepted.batch_id,
            accepted.host,
            accepted.path,
            accepted.model,
            accepted.step,
            accepted.oldest_version,
            appended.ok.first_offset,
            appended.ok.record_count,
            len(accepted.items),
            accepted.organisation,
        )
        self._accepted_here.append(accepted.batch_id)
        return self._append_index([record], deadline)

    def end(
        self, batch_id: str, deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
        """End a batch because its trainer needs no further results."""
        ended = _track_write(
            self._ends,
            batch_id,
            lambda: self._append_index([records.Ended(batch_id)], deadline),
        )
        if ended.is_ok():
            self._index.apply_appended(records.Ended(batch_id))
        return ended

    def append_results(
        self, batch_id: str, results: list[tuple[int, submission.ItemResult]]
    ) -> expression.Result[None, content.JournalFailure]:
        """
        Append results, each with its item number; safe to repeat after any failure.

        A failure that is final concerns at least one of the results; the others can be appended
        without it.
        """
        contents = [submission.encode_result(result) for _, result in results]
        appended = self._content.append(batch_id, contents)
        if appended.is_error():
            return expression.Error(appended.error)
        index: list[records.IndexRecord] = [
            records.Finished(batch_id, number, offset)
            for (number, _), offset in zip(results, appended.ok, strict=True)
        ]
        return self._append_index(index, clock.start_deadline(content.APPEND_TIMEOUT_SECONDS))

    def append_partials(
        self, batch_id: str, partials: list[submission.PartialText]
    ) -> expression.Result[None, content.JournalFailure]:
        """
        Append partial texts, from which another process can resume the items.

        Several appends are needed for more than `divide_partials` puts into one portion.
        """
        contents = [submission.encode_partial(partial) for partial in partials]
        appended = self._content.append(batch_id, contents)
        if appended.is_error():
            return expression.Error(appended.error)
        index: list[records.IndexRecord] = [
            records.Partial(batch_id, item.item_number, offset, item.events)
            for item, offset in zip(partials, appended.ok, strict=True)
        ]
        return self._append_index(index, clock.start_deadline(content.APPEND_TIMEOUT_SECONDS))

    def divide_partials(
        self, partials: list[submission.PartialText]
    ) -> list[list[submission.PartialText]]:
        """Divide partial texts into portions, each of which needs one append of content."""
        sizes = [len(submission.encode_partial(item)) for item in partials]
        return [
            [partials[index] for index in portion] for portion in self._log.limits.divide(sizes)
        ]

    def record_runner(
        self, batch_ids: list[str], runner: str
    ) -> expression.Result[None, content.JournalFailure]:
        """Record which process runs batches; an empty name hands them over."""
        index: list[records.IndexRecord] = [records.Taken(name, runner) for name in batch_ids]
        return self._append_index(index, clock.start_deadline(content.APPEND_TIMEOUT_SECONDS))

    def read_results(
        self, batch: batch_table.Batch, after: int, deadline: clock.Deadline
    ) -> expression.Result[ResultPage, content.JournalFailure]:
        """
        Return the results from position `after` on, as many as one read of the log returns.

        The page is empty only if there is no result at that position. Two processes that write
        at the same time may store texts in another order than the index lists them, so the read
        begins at the first text that the next results need.
        """
        locations = self._index.list_result_locations(batch, after)
        if not locations:
            return expression.Ok(ResultPage(batch.total, ()))
        first = locations[0].content_offset
        start = min(item.content_offset for item in locations[:_MAX_REORDERED_RESULTS])
        contents = self._content.read(batch.batch_id, start, deadline)
        if contents.is_ok() and first not in contents.ok:
            contents = self._content.read(batch.batch_id, first, deadline)
        if contents.is_error():
            return expression.Error(contents.error)
        stored = [contents.ok.get(location.content_offset) for location in locations]
        read = self._decode_results(batch.batch_id, stored, deadline)
        return read.map(lambda results: ResultPage(batch.total, tuple(results)))

    def _decode_results(
        self, batch_id: str, stored: list[bytes | None], deadline: clock.Deadline
    ) -> expression.Result[list[submission.ItemResult], content.JournalFailure]:
        """
        Decode records of results up to the first one missing.

        A result that is larger than a record ends the page, which bounds the size of a page.
        """
        results: list[submission.ItemResult] = []
        for record in itertools.takewhile(lambda item: item is not None, stored):
            encoded = self._content.resolve(batch_id, record or b"", deadline)
            if encoded.is_error() and results:
                break
            if encoded.is_error():
                return expression.Error(encoded.error)
            decoded = submission.decode_result(encoded.ok)
            if decoded.is_error():
                return expression.Error(content.JournalFailure(str(decoded.error), False))
            results.append(decoded.ok)
            if encoded.ok is not record:
                break
        if not results:
            return expression.Error(
                content.JournalFailure("a result's content is not kept any more", False)
            )
        return expression.Ok(results)

    def read_partials(
        self, batch: batch_table.Batch, deadline: clock.Deadline
    ) -> list[submission.PartialText]:
        """
        Return the partial texts of a batch, as many as can be read before the deadline.

        Partial texts have nearby offsets, so one read returns many of them. Reading each by itself
        would take seconds with a slow log, and no item is started until this returns.
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
            encoded = self._content.resolve(batch.batch_id, contents.get(offset, b""), deadline)
            if encoded.is_error():
                log.warn_bounded("partials-unread", encoded.error.detail, batch=batch.batch_id)
                continue
            decoded = submission.decode_partial(encoded.ok)
            if decoded.is_ok():
                partials.append(decoded.ok)
            else:
                log.warn_bounded("partial-record", str(decoded.error), batch=batch.batch_id)
        return partials

    def read_submission(
        self, batch: batch_table.Batch, deadline: clock.Deadline
    ) -> expression.Result[submission.Submission, content.JournalFailure]:
        """Return the submission of a batch."""
        return self._content.read_submission(batch.accepted, deadline)

    def _append_index(
        self, items: list[records.IndexRecord], deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
        """
        Append records to the index, in as many calls as the log's limits require.

        A record that is appended twice does no harm. A failure after the first call may have had
        an effect.
        """
        contents = [records.encode_record(item) for item in items]
        for number, call in enumerate(self._log.limits.divide(map(len, contents))):
            appended = self._append_index_call([contents[index] for index in call], deadline)
            if appended.is_error() and number:
                return appended.map_error(
                    lambda failure: dataclasses.replace(failure, may_have_effect=True)
                )
            if appended.is_error():
                return appended
        return expression.Ok(None)

    def _append_index_call(
        self, contents: list[bytes], deadline: clock.Deadline
    ) -> expression.Result[None, content.JournalFailure]:
        """Append records in one call; repeat one that was not answered until the deadline."""
        may_have_effect = False
        answers: list[str] = []
        while True:
            attempt = deadline.cap(content.APPEND_TIMEOUT_SECONDS)
            appended = self._log.append(
                index_reader.TOPIC, index_reader.PARTITION, contents, attempt
            )
            if appended.is_ok():
                return expression.Ok(None)
            error = appended.error
            may_have_effect = may_have_effect or error.may_have_effect
            answers += error.answers
            if error.is_final or not may_have_effect or deadline.remaining < _RETRY_SECONDS:
                return expression.Error(
                    content.JournalFailure(
                        error.detail,
                        may_have_effect,
                        error.is_final,
                        index_reader.TOPIC,
                        tuple(answers),
                    )
                )
            self._group.pause(_RETRY_SECONDS / 2)


def _track_write(
    writes: doubtful_writes.DoubtfulWrites,
    key: str,
    write: collections.abc.Callable[[], expression.Result[None, content.JournalFailure]],
) -> expression.Result[None, content.JournalFailure]:
    """Write, and return a failure as one that may have an effect if any write of the key may."""
    writes.begin(key)
    may_have_effect = True
    try:
        written = write()
        may_have_effect = written.is_ok() or written.error.may_have_effect
    finally:
        writes.finish(key, may_have_effect)
    if written.is_ok() or not writes.may_have_effect(key):
        return written
    return expression.Error(dataclasses.replace(written.error, may_have_effect=True))
