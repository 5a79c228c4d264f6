"""The content topic of the log, which stores submissions, results and partial texts."""

import collections
import dataclasses
import threading

import expression

from oleander_base import clock, identifiers
from oleander_batches import records, submission
from oleander_platform import recordlog

CONTENT_TOPIC = "oleander.content"
APPEND_TIMEOUT_SECONDS = 1.0
"""The timeout of one append, after which it may be tried again."""
_MAX_RECORD_BYTES = 128 * 1024
"""A submission is split into records of this size, which is below the log's limit for a record."""
MAX_SUBMISSION_BYTES = 1536 * 1024
"""Maximum size of a submission. All its records are appended in one call, whose size the log
limits."""
_MAX_CACHED_SUBMISSIONS = 8
"""Maximum number of decoded submissions in the cache."""


@dataclasses.dataclass(slots=True, frozen=True)
class JournalFailure:
    """Why an append to the log or a read from it failed."""

    detail: str
    may_have_effect: bool
    """Whether the records may have been appended despite the failure, or may still be appended."""
    is_final: bool = False
    """Whether a retry can't succeed."""


@dataclasses.dataclass(slots=True, frozen=True)
class SubmissionLocation:
    """The consecutive records of the content that hold a submission."""

    first_offset: int
    record_count: int


class BatchContent:
    """
    Appends and reads the content of batches, which is spread over partitions; thread-safe.

    Unlike the index, content is read only by the processes that need a batch. The most recently
    read submissions are cached.
    """

    def __init__(self, log_service: recordlog.RecordLog, partitions: int) -> None:
        self._log = log_service
        self._partitions = partitions
        self._lock = threading.Lock()
        self._cached: collections.OrderedDict[str, submission.Submission] = (
            collections.OrderedDict()
        )

    def find_partition(self, batch_id: str) -> int:
        """Return the number of the partition that holds a batch's content."""
        return identifiers.hash_text(batch_id) % self._partitions

    def append_submission(
        self, accepted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[SubmissionLocation, JournalFailure]:
        """Append a submission, split into records, and return its location."""
        content = submission.encode_submission(accepted)
        if len(content) > MAX_SUBMISSION_BYTES:
            return expression.Error(JournalFailure("the submission is too large", False, True))
        parts = [
            content[start : start + _MAX_RECORD_BYTES]
            for start in range(0, len(content), _MAX_RECORD_BYTES)
        ]
        partition = self.find_partition(accepted.batch_id)
        appended = self._log.append(CONTENT_TOPIC, partition, parts, deadline)
        if appended.is_error():
            return expression.Error(JournalFailure(appended.error.detail, False))
        return expression.Ok(SubmissionLocation(appended.ok.first_offset, len(parts)))

    def append(
        self, batch_id: str, contents: list[bytes]
    ) -> expression.Result[int, JournalFailure]:
        """
        Append records of a batch and return the offset of the first.

        Content has no effect without an index record that refers to it. A failure is therefore
        never reported as one that may have had an effect.
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
        """Return the records from an offset on, keyed by offset, as many as one read returns."""
        partition = self.find_partition(batch_id)
        page = self._log.read(CONTENT_TOPIC, partition, offset, 0, deadline)
        if page.is_error():
            return expression.Error(JournalFailure(page.error.detail, False))
        return expression.Ok({item.offset: item.content for item in page.ok.records})

    def read_submission(
        self, accepted: records.Accepted, deadline: clock.Deadline
    ) -> expression.Result[submission.Submission, JournalFailure]:
        """Return the submission of a batch, from the cache if it was read lately."""
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
        """Return the encoded submission of a batch, reading the log as often as needed."""
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
