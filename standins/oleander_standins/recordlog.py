"""A partitioned record log in memory, with injected faults of the platform's log."""

import collections
import dataclasses
import itertools
import threading
import time

import expression

from oleander_base import clock
from oleander_platform import append_limits, recordlog

_PAGE_RECORDS = 500
_PAGE_BYTES = 1024 * 1024
"""A page holds records up to this size, and at least one."""
_DEFAULT_LIMITS = append_limits.AppendLimits()


@dataclasses.dataclass(slots=True)
class LogFaults:
    """Faults to inject into the next calls; each count decreases with every call it affects."""

    is_down: bool = False
    """Calls fail at once and have no effect."""
    is_silent: bool = False
    """Reads and appends have no effect and fail when their deadline expires."""
    lost_answers: int = 0
    """How many of the next appends take effect but report that no answer came."""
    lost_calls: int = 0
    """How many of the next appends have no effect and report that no answer came."""
    hollow_pages: int = 0
    """How many of the next reads return no records although the end offset lies beyond the read
    offset. The platform's log answers so if a record arrives just as a long poll times out."""
    late_appends: int = 0
    """How many of the next appends report no answer and take effect in `apply_late`."""


@dataclasses.dataclass(slots=True)
class _Partition:
    records: list[bytes] = dataclasses.field(default_factory=list)
    first_offset: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class _LateAppend:
    """An append in flight; with an end offset, it applies only if the partition ends there."""

    topic: str
    partition: int
    records: list[bytes]
    end_offset: int | None


class MemoryRecordLog(recordlog.RecordLog):
    """A log shared by several clients, each created by `create_client` with its own faults."""

    def __init__(
        self,
        shared: "MemoryRecordLog | None" = None,
        limits: append_limits.AppendLimits = _DEFAULT_LIMITS,
    ) -> None:
        self.faults = LogFaults()
        self._limits = shared.limits if shared else limits
        self.accepted_limits = self._limits
        """The limits that are enforced; a test may lower them below the stated ones."""
        self._partitions: dict[tuple[str, int], _Partition] = (
            shared._partitions if shared else collections.defaultdict(_Partition)
        )
        self._lock: threading.Lock = shared._lock if shared else threading.Lock()
        self._late: list[_LateAppend] = []
        self.appends = 0
        self.dealt: dict[str, frozenset[int]] = shared.dealt if shared else {}
        self.left: set[str] = shared.left if shared else set()
        """The members that left. `dealt` holds the partitions assigned to each member; while it is
        empty, every member is assigned all partitions."""

    @property
    def limits(self) -> append_limits.AppendLimits:
        """The limits that callers are told."""
        return self._limits

    def create_client(self) -> "MemoryRecordLog":
        """Return another client of the same log, without faults."""
        return MemoryRecordLog(self)

    def append(
        self, topic: str, partition: int, records: list[bytes], deadline: clock.Deadline
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError]:
        """Append records atomically to a partition."""
        if self.faults.is_silent:
            return expression.Error(_wait_for_timeout(deadline))
        appended = self._append(_LateAppend(topic, partition, records, None))
        if appended.is_error():
            assert isinstance(appended.error, recordlog.LogError)
            return expression.Error(appended.error)
        return expression.Ok(appended.ok)

    def append_at(
        self,
        topic: str,
        partition: int,
        records: list[bytes],
        end_offset: int,
        deadline: clock.Deadline,
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError | recordlog.EndMoved]:
        """Append only if the partition ends at `end_offset`; return EndMoved otherwise."""
        return self._append(_LateAppend(topic, partition, records, end_offset))

    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int, deadline: clock.Deadline
    ) -> expression.Result[recordlog.RawPage, recordlog.LogError]:
        """Return records from an offset on; ignores `wait_ms` and never waits for new records."""
        if self.faults.is_silent:
            return expression.Error(_wait_for_timeout(deadline))
        if self.faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
        with self._lock:
            held = self._partitions[topic, partition]
            end = held.first_offset + len(held.records)
            start = max(offset, held.first_offset)
            contents = _cut_page(held.records[start - held.first_offset :][:_PAGE_RECORDS])
        if self.faults.hollow_pages:
            self.faults.hollow_pages -= 1
            contents = []
        records = tuple(
            recordlog.RawRecord(start + place, content) for place, content in enumerate(contents)
        )
        return expression.Ok(recordlog.RawPage(offset, records, held.first_offset, end))

    def read_newest(
        self, topic: str, deadline: clock.Deadline
    ) -> expression.Result[tuple[tuple[recordlog.KeyedRecord, ...], int], recordlog.LogError]:
        """Return the newest record of each key, without deleted keys, and the end offset."""
        page = self.read(topic, 0, 0, 0, deadline)
        if page.is_error():
            return expression.Error(page.error)
        newest: dict[str, recordlog.KeyedRecord] = {}
        for record in page.ok.records:
            item = recordlog.decode_keyed(record)
            if item is not None:
                newest[item.key] = item
        kept = tuple(item for item in newest.values() if item.value is not None)
        return expression.Ok((kept, page.ok.end_offset))

    def join(
        self, request: recordlog.MemberRequest, deadline: clock.Deadline
    ) -> expression.Result[recordlog.Membership, recordlog.LogError]:
        """Return the partitions assigned to a member: those in `dealt`, or all if it is empty."""
        if self.faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
        if not self.dealt:
            return expression.Ok(recordlog.Membership(1, frozenset(range(64))))
        return expression.Ok(recordlog.Membership(2, self.dealt.get(request.member, frozenset())))

    def leave(
        self, request: recordlog.MemberRequest, deadline: clock.Deadline
    ) -> expression.Result[None, recordlog.LogError]:
        """Record that a member left."""
        if self.faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
        self.left.add(request.member)
        return expression.Ok(None)

    def apply_late(self) -> None:
        """Apply the appends that `late_appends` delayed; skip any with an outdated end offset."""
        late, self._late = self._late, []
        for append in late:
            with self._lock:
                self._apply(append)

    def _append(
        self, append: _LateAppend
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError | recordlog.EndMoved]:
        faults = self.faults
        self.appends += 1
        if faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
        if not self.accepted_limits.allows(append.records):
            return expression.Error(recordlog.LogError("too large", False, 0, is_final=True))
        if faults.lost_calls:
            faults.lost_calls -= 1
            return expression.Error(recordlog.LogError("no answer", True, 0))
        if faults.late_appends:
            faults.late_appends -= 1
            self._late.append(append)
            return expression.Error(recordlog.LogError("no answer", True, 0))
        with self._lock:
            applied = self._apply(append)
        if faults.lost_answers:
            faults.lost_answers -= 1
            return expression.Error(recordlog.LogError("no answer", True, 0))
        return applied

    def _apply(
        self, append: _LateAppend
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError | recordlog.EndMoved]:
        held = self._partitions[append.topic, append.partition]
        end = held.first_offset + len(held.records)
        if append.end_offset is not None and append.end_offset != end:
            return expression.Error(recordlog.EndMoved(end))
        held.records.extend(append.records)
        return expression.Ok(recordlog.AppendedRange(end, end + len(append.records)))


def _cut_page(contents: list[bytes]) -> list[bytes]:
    """Return the first records that fit into a page, and at least one."""
    sums = itertools.accumulate(len(content) for content in contents)
    count = sum(1 for size in sums if size <= _PAGE_BYTES)
    return contents[: max(1, count)]


def _wait_for_timeout(deadline: clock.Deadline) -> recordlog.LogError:
    """Wait until the deadline and return the error of a call without an answer."""
    time.sleep(max(0.0, deadline.remaining))
    return recordlog.LogError("no answer", True, 0)
