"""The content topic of the log, which stores submissions, results and partial texts."""

import collections
import dataclasses
import threading

import expression

from oleander_base import clock, identifiers
from oleander_batches import manifests, records, submission
from oleander_platform import recordlog

CONTENT_TOPIC = "oleander.content"
APPEND_TIMEOUT_SECONDS = 1.0
"""The timeout of one append, after which it may be tried again."""
_SPLIT_TIMEOUT_SECONDS = 60.0
"""Bound on all appends of one result or partial text that is larger than a record."""
MAX_SUBMISSION_BYTES = manifests.MAX_CONTENT_BYTES
"""Maximum size of an encoded submission."""
_MAX_CACHED_SUBMISSIONS = 8
"""Maximum number of decoded submissions in the cache."""
_MAX_CACHED_BYTES = 32 * 1024 * 1024
"""Maximum size of the cached submissions, except that the last one read is always cached."""
_MAX_UNFINISHED_READS = 4
"""Maximum number of contents of which a part was read. Beyond it, or if they are larger than one
content may be, the oldest is read anew."""


@dataclasses.dataclass(slots=True, frozen=True)
class JournalFailure:
    """Why an append to the log or a read from it failed."""

    detail: str
    may_have_effect: bool
    """Whether the records may have been appended despite the failure, or may still be appended."""
    is_final: bool = False
    """Whether a retry can't succeed."""
    topic: str = ""
    """The topic of the append that failed; empty if none was tried."""
    answers: tuple[str, ...] = ()
    """What each send of that append was answered, the first one first."""


@dataclasses.dataclass(slots=True, frozen=True)
class SubmissionLocation:
    """The consecutive records of the content that hold a submission, or its manifest."""

    first_offset: int
    record_count: int


@dataclasses.dataclass(slots=True)
class _UnfinishedRead:
    """The part of a content that was read; a read that is not finished in time is continued."""

    offsets: tuple[int, ...]
    parts: list[bytes]

    @property
    def size(self) -> int:
        """The size of the parts that were read, in bytes."""
        return sum(len(part) for part in self.parts)


class BatchContent:
    """
    Appends and reads the content of batches, which is spread over partitions; thread-safe.

    A content that fits into one record is stored as it is. A larger one is split into parts, in as
    many appends as the log's limits require, and a manifest that lists them is appended last; the
    offset of the manifest then stands for the content. A submission that fits into one append
    needs no manifest, because its records are consecutive.

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
        self._unfinished: collections.OrderedDict[tuple[str, int], _UnfinishedRead] = (
            collections.OrderedDict()
        )
        self._manifests: collections.OrderedDict[str, bytes] = collections.OrderedDict()
        """Manifests of submissions whose parts are not all read, by batch."""

    def find_partition(self, batch_id: str) -> int:
        """Return the number of the partition that holds a batch's content."""
        return identifiers.hash_text(batch_id) % self._partitions

    def append_submission(
        self, accepted: submission.Submission, deadline: clock.Deadline
    ) -> expression.Result[SubmissionLocation, JournalFailure]:
        """
        Append a submission and return its location.

        Several appends are needed for one that is larger than a call. A failure after some of
        them leaves records that nothing refers to.
        """
        encoded = submission.encode_submission(accepted)
        if len(encoded) > MAX_SUBMISSION_BYTES:
            return expression.Error(JournalFailure("the submission is too large", False, True))
        partition = self.find_partition(accepted.batch_id)
        parts = self._log.limits.split(encoded)
        if len(self._log.limits.divide(map(len, parts))) == 1:
            appended = self._append_call(partition, parts, deadline)
            return appended.map(lambda first: SubmissionLocation(first, len(parts)))
        stored = self._append_split(partition, encoded, deadline)
        return stored.bind(
            lambda manifest: self._append_call(partition, [manifest], deadline)
        ).map(lambda offset: SubmissionLocation(offset, 1))

    def append(
        self, batch_id: str, contents: list[bytes]
    ) -> expression.Result[list[int], JournalFailure]:
        """
        Append contents of a batch and return the offset of each.

        Content has no effect without an index record that refers to it. A failure is therefore
        never reported as one that may have had an effect.
        """
        partition = self.find_partition(batch_id)
        stored: list[bytes] = []
        for encoded in contents:
            record = self._store_parts(partition, encoded)
            if record.is_error():
                return expression.Error(record.error)
            stored.append(record.ok)
        offsets: list[int] = []
        for call in self._log.limits.divide(map(len, stored)):
            taken = [stored[index] for index in call]
            appended = self._append_call(
                partition, taken, clock.start_deadline(APPEND_TIMEOUT_SECONDS)
            )
            if appended.is_error():
                return expression.Error(appended.error)
            offsets += range(appended.ok, appended.ok + len(call))
        return expression.Ok(offsets)

    def read(
        self, batch_id: str, offset: int, deadline: clock.Deadline
    ) -> expression.Result[dict[int, bytes], JournalFailure]:
        """Return the records from an offset on, keyed by offset, as many as one read returns."""
        partition = self.find_partition(batch_id)
        page = self._log.read(CONTENT_TOPIC, partition, offset, 0, deadline)
        if page.is_error():
            return expression.Error(JournalFailure(page.error.detail, False))
        return expression.Ok({item.offset: item.content for item in page.ok.records})

    def resolve(
        self, batch_id: str, record: bytes, deadline: clock.Deadline
    ) -> expression.Result[bytes, JournalFailure]:
        """
        Return the content that a record stands for, which it holds or lists as a manifest.

        If the deadline passes before all parts are read, the next call continues.
        """
        if not manifests.is_manifest(record):
            return expression.Ok(record)
        decoded = manifests.decode_manifest(record)
        if decoded.is_error():
            return expression.Error(JournalFailure(str(decoded.error), False))
        read = self._read_parts(batch_id, decoded.ok.ranges, deadline)
        if read.is_ok() and len(read.ok) != decoded.ok.size:
            return expression.Error(JournalFailure("a manifest lists other records", False))
        return read

    def read_submission(
        self, accepted: records.Accepted, deadline: clock.Deadline
    ) -> expression.Result[submission.Submission, JournalFailure]:
        """
        Return the submission of a batch, from the cache if it was read lately.

        If the deadline passes before all of it is read, the next call continues.
        """
        with self._lock:
            cached = self._cached.get(accepted.batch_id)
        if cached is not None:
            return expression.Ok(cached)
        if not 0 < accepted.content_records <= manifests.MAX_RECORDS:
            return expression.Error(JournalFailure("a submission of too many records", False))
        first = accepted.content_offset
        stored = range(first, first + accepted.content_records)
        with self._lock:
            manifest = self._manifests.get(accepted.batch_id)
        record = (
            self._read_parts(accepted.batch_id, (stored,), deadline)
            if manifest is None
            else expression.Ok(manifest)
        )
        encoded = record.bind(lambda item: self._resolve_kept(accepted.batch_id, item, deadline))
        if encoded.is_error():
            return expression.Error(encoded.error)
        decoded = submission.decode_submission(encoded.ok)
        if decoded.is_error():
            return expression.Error(JournalFailure(str(decoded.error), False))
        self._cache(decoded.ok)
        return expression.Ok(decoded.ok)

    def _resolve_kept(
        self, batch_id: str, record: bytes, deadline: clock.Deadline
    ) -> expression.Result[bytes, JournalFailure]:
        """Resolve a submission's record; keep a manifest while its parts are not all read."""
        if not manifests.is_manifest(record):
            return expression.Ok(record)
        resolved = self.resolve(batch_id, record, deadline)
        with self._lock:
            self._manifests.pop(batch_id, None)
            if resolved.is_error():
                self._manifests[batch_id] = record
                while len(self._manifests) > _MAX_UNFINISHED_READS:
                    self._manifests.popitem(last=False)
        return resolved

    def _append_call(
        self, partition: int, stored: list[bytes], deadline: clock.Deadline
    ) -> expression.Result[int, JournalFailure]:
        """Append records in one call and return the offset of the first."""
        timeout = deadline.cap(APPEND_TIMEOUT_SECONDS)
        appended = self._log.append(CONTENT_TOPIC, partition, stored, timeout)
        if appended.is_error():
            error = appended.error
            return expression.Error(
                JournalFailure(error.detail, False, error.is_final, CONTENT_TOPIC, error.answers)
            )
        return expression.Ok(appended.ok.first_offset)

    def _store_parts(
        self, partition: int, encoded: bytes
    ) -> expression.Result[bytes, JournalFailure]:
        """Return the record for a content; append the parts of one larger than a record."""
        if len(encoded) <= self._log.limits.max_part_bytes:
            return expression.Ok(encoded)
        if len(encoded) > manifests.MAX_CONTENT_BYTES:
            return expression.Error(JournalFailure("a content is too large", False, True))
        return self._append_split(partition, encoded, clock.start_deadline(_SPLIT_TIMEOUT_SECONDS))

    def _append_split(
        self, partition: int, encoded: bytes, deadline: clock.Deadline
    ) -> expression.Result[bytes, JournalFailure]:
        """Append the parts of a content, in as many calls as needed, and return its manifest."""
        limits = self._log.limits
        parts = limits.split(encoded)
        ranges = []
        for call in limits.divide(map(len, parts)):
            taken = [parts[index] for index in call]
            appended = self._append_call(partition, taken, deadline)
            if appended.is_error():
                return expression.Error(appended.error)
            ranges.append(range(appended.ok, appended.ok + len(call)))
        manifest = manifests.Manifest(tuple(ranges), len(encoded))
        return expression.Ok(manifests.encode_manifest(manifest))

    def _read_parts(
        self, batch_id: str, ranges: tuple[range, ...], deadline: clock.Deadline
    ) -> expression.Result[bytes, JournalFailure]:
        """
        Return the joined records of some ranges, reading the log as often as needed.

        What was read before a failure is kept, so that a content that takes longer than one
        deadline is complete after some calls.
        """
        key = (batch_id, ranges[0].start if ranges else 0)
        offsets = tuple(offset for item in ranges for offset in item)
        with self._lock:
            unfinished = self._unfinished.pop(key, None)
        if unfinished is None or unfinished.offsets != offsets:
            unfinished = _UnfinishedRead(offsets, [])
        failure = self._continue_read(batch_id, unfinished, deadline)
        if failure is None:
            return expression.Ok(b"".join(unfinished.parts))
        with self._lock:
            self._unfinished[key] = unfinished
            while len(self._unfinished) > _MAX_UNFINISHED_READS or (
                len(self._unfinished) > 1
                and sum(item.size for item in self._unfinished.values())
                > manifests.MAX_CONTENT_BYTES
            ):
                self._unfinished.popitem(last=False)
        return expression.Error(failure)

    def _continue_read(
        self, batch_id: str, unfinished: _UnfinishedRead, deadline: clock.Deadline
    ) -> JournalFailure | None:
        """Read the missing records; return why some are still missing, or None."""
        page: dict[int, bytes] = {}
        size = unfinished.size
        while len(unfinished.parts) < len(unfinished.offsets):
            offset = unfinished.offsets[len(unfinished.parts)]
            if offset not in page:
                if deadline.is_past:
                    return JournalFailure("the content was not read in time", False)
                read = self.read(batch_id, offset, deadline)
                if read.is_error():
                    return read.error
                page = read.ok
            if offset not in page:
                return JournalFailure("a content is not kept any more", False)
            size += len(page[offset])
            if size > manifests.MAX_CONTENT_BYTES:
                return JournalFailure("a content is larger than its bound", False)
            unfinished.parts.append(page[offset])
        return None

    def _cache(self, read: submission.Submission) -> None:
        with self._lock:
            self._cached[read.batch_id] = read
            while len(self._cached) > 1 and (
                len(self._cached) > _MAX_CACHED_SUBMISSIONS
                or sum(item.body_bytes for item in self._cached.values()) > _MAX_CACHED_BYTES
            ):
                self._cached.popitem(last=False)
