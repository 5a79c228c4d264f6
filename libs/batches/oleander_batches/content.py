"""What batches consist of, in the log's content: submissions, results, starts of texts."""

import collections
import dataclasses
import threading

import expression

from oleander_base import clock, identifiers
from oleander_batches import records, submission
from oleander_platform import recordlog

CONTENT_TOPIC = "oleander.content"
APPEND_TIMEOUT_SECONDS = 1.0
"""After this another append is tried."""
_MAX_RECORD_BYTES = 128 * 1024
"""A submission is spread over records of this size, below what the log takes."""
MAX_SUBMISSION_BYTES = 1536 * 1024
"""All its records are appended in one call, which the log bounds."""
_MAX_CACHED_SUBMISSIONS = 8
"""Submissions kept after they were read."""


@dataclasses.dataclass(slots=True, frozen=True)
class JournalFailure:
    """A call that did not succeed."""

    detail: str
    may_have_effect: bool
    is_final: bool = False
    """Whether it can't succeed at another time either."""


@dataclasses.dataclass(slots=True, frozen=True)
class SubmissionLocation:
    """Where a submission stands."""

    first_offset: int
    record_count: int


class BatchContent:
    """
    Appends to and reads from the partitions that batches' content is spread over; thread-safe.

    Read only by whoever needs a batch. The submissions read last are kept.
    """

    def __init__(self, log_service: recordlog.RecordLog, partitions: int) -> None:
        self._log = log_service
        self._partitions = partitions
        self._lock = threading.Lock()
        self._cached: collections.OrderedDict[str, submission.Submission] = (
            collections.OrderedDict()
        )

    def find_partition(self, batch_id: str) -> int:
        """Return the partition of a batch's content."""
        return identifiers.hash_text(batch_id) % self._partitions

    def append_submission(
        self, accepted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[SubmissionLocation, JournalFailure]:
        """Keep a submission, in as many records as it takes."""
        content = submission.encode_submission(accepted)
        if len(content) > MAX_SUBMISSION_BYTES:
            return expression.Error(JournalFailure("the submission is too large", False, True))
        parts = [
            content[start : start + _MAX_RECORD_BYTES]
            for start in range(0, len(content), _MAX_RECORD_BYTES)
        ]
        partition = self.find_partition(accepted.batch_id)
        kept = self._log.append(CONTENT_TOPIC, partition, parts, deadline)
        if kept.is_error():
            return expression.Error(JournalFailure(kept.error.detail, False))
        return expression.Ok(SubmissionLocation(kept.ok.first_offset, len(parts)))

    def append(
        self, batch_id: str, contents: list[bytes]
    ) -> expression.Result[int, JournalFailure]:
        """
        Keep records of a batch; return the offset of the first.

        Without an index record that points there they mean nothing: an error has had no effect.
        """
        partition = self.find_partition(batch_id)
        deadline = clock.start_deadline(APPEND_TIMEOUT_SECONDS)
        appended = self._log.append(CONTENT_TOPIC, partition, contents, deadline)
        if appended.is_error():
            return expression.Error(JournalFailure(appended.error.detail, False))
        return expression.Ok(appended.ok.first_offset)

    def read(
        self, batch_id: str, offset: int, deadline: clock.Deadline
    ) -> expression.Result[dict[int, bytes], JournalFailure]:
        """Return records from an offset on, by their offsets; as many as one read brings."""
        partition = self.find_partition(batch_id)
        page = self._log.read(CONTENT_TOPIC, partition, offset, 0, deadline)
        if page.is_error():
            return expression.Error(JournalFailure(page.error.detail, False))
        return expression.Ok({item.offset: item.content for item in page.ok.records})

    def read_submission(
        self, accepted: records.Accepted, deadline: clock.Deadline
    ) -> expression.Result[submission.Submission, JournalFailure]:
        """Return what a trainer handed in."""
        with self._lock:
            cached = self._cached.get(accepted.batch_id)
        if cached is not None:
            return expression.Ok(cached)
        parts = self._read_submission_bytes(accepted, deadline)
        if parts.is_error():
            return expression.Error(parts.error)
        decoded = submission.decode_submission(parts.ok)
        if decoded.is_error():
            return expression.Error(JournalFailure(str(decoded.error), False))
        with self._lock:
            self._cached[accepted.batch_id] = decoded.ok
            while len(self._cached) > _MAX_CACHED_SUBMISSIONS:
                self._cached.popitem(last=False)
        return expression.Ok(decoded.ok)

    def _read_submission_bytes(
        self, accepted: records.Accepted, deadline: clock.Deadline
    ) -> expression.Result[bytes, JournalFailure]:
        """Return a submission's bytes, which may take several reads."""
        offset = accepted.content_offset
        end = offset + accepted.content_records
        content = b""
        while offset < end:
            read = self.read(accepted.batch_id, offset, deadline)
            if read.is_error():
                return expression.Error(read.error)
            if offset not in read.ok:
                return expression.Error(JournalFailure("a submission is not kept any more", False))
            while offset < end and offset in read.ok:
                content += read.ok[offset]
                offset += 1
        return expression.Ok(content)
