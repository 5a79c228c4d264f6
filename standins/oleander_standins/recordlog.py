"""A log of partitions in memory, with the faults of a platform's store."""

import collections
import dataclasses
import threading
import time

import expression

from oleander_base import clock
from oleander_platform import recordlog

_PAGE_RECORDS = 500


@dataclasses.dataclass(slots=True)
class LogFaults:
    """What goes wrong with the next calls; each count goes down as it is used."""

    is_down: bool = False
    """Calls are refused and do nothing."""
    is_silent: bool = False
    """Reads and appends do nothing and have no answer until their time is up."""
    lost_answers: int = 0
    """So many appends take effect without an answer."""
    lost_calls: int = 0
    """So many appends do nothing and have no answer."""
    hollow_pages: int = 0
    """So many reads name the end of the partition without the records before it, as a read that
    waited in vain does when a record comes just as it is answered."""
    late_appends: int = 0
    """So many appends have no answer and take effect when `apply_late` is called."""


@dataclasses.dataclass(slots=True)
class _Partition:
    records: list[bytes] = dataclasses.field(default_factory=list)
    first_offset: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class _LateAppend:
    """An append on its way, with the end that it is made for, if it names one."""

    topic: str
    partition: int
    records: list[bytes]
    end_offset: int | None


class MemoryRecordLog(recordlog.RecordLog):
    """One log that several clients share; `create_client` gives each its own faults."""

    def __init__(self, shared: "MemoryRecordLog | None" = None) -> None:
        self.faults = LogFaults()
        self._partitions: dict[tuple[str, int], _Partition] = (
            shared._partitions if shared else collections.defaultdict(_Partition)
        )
        self._lock: threading.Lock = shared._lock if shared else threading.Lock()
        self._late: list[_LateAppend] = []
        self.appends = 0
        self.dealt: dict[str, frozenset[int]] = shared.dealt if shared else {}
        self.left: set[str] = shared.left if shared else set()
        """Partitions by member; where nothing is said here, every member is given all."""

    def create_client(self) -> "MemoryRecordLog":
        """Return another client of the same log."""
        return MemoryRecordLog(self)

    def append(
        self, topic: str, partition: int, records: list[bytes], deadline: clock.Deadline
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError]:
        """Append all records or none."""
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
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError | recordlog.EndMismatch]:
        """Append where the partition ends at an offset."""
        return self._append(_LateAppend(topic, partition, records, end_offset))

    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int, deadline: clock.Deadline
    ) -> expression.Result[recordlog.RawPage, recordlog.LogError]:
        """Return records from an offset on; never waits for one."""
        if self.faults.is_silent:
            return expression.Error(_wait_for_timeout(deadline))
        if self.faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
        with self._lock:
            held = self._partitions[topic, partition]
            end = held.first_offset + len(held.records)
            start = max(offset, held.first_offset)
            contents = held.records[start - held.first_offset :][:_PAGE_RECORDS]
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
        """Return the newest record of each key."""
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
        """Give a member what it was dealt."""
        if self.faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
        if not self.dealt:
            return expression.Ok(recordlog.Membership(1, frozenset(range(64))))
        return expression.Ok(recordlog.Membership(2, self.dealt.get(request.member, frozenset())))

    def leave(
        self, request: recordlog.MemberRequest, deadline: clock.Deadline
    ) -> expression.Result[None, recordlog.LogError]:
        """Remember that a member left."""
        if self.faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
        self.left.add(request.member)
        return expression.Ok(None)

    def apply_late(self) -> None:
        """Let the appends on their way take effect, where their condition still holds."""
        late, self._late = self._late, []
        for append in late:
            with self._lock:
                self._apply(append)

    def _append(
        self, append: _LateAppend
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError | recordlog.EndMismatch]:
        faults = self.faults
        self.appends += 1
        if faults.is_down:
            return expression.Error(recordlog.LogError("down", False, 0))
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
    ) -> expression.Result[recordlog.AppendedRange, recordlog.LogError | recordlog.EndMismatch]:
        held = self._partitions[append.topic, append.partition]
        end = held.first_offset + len(held.records)
        if append.end_offset is not None and append.end_offset != end:
            return expression.Error(recordlog.EndMismatch(end))
        held.records.extend(append.records)
        return expression.Ok(recordlog.AppendedRange(end, end + len(append.records)))


def _wait_for_timeout(deadline: clock.Deadline) -> recordlog.LogError:
    """Wait in vain for an answer."""
    time.sleep(max(0.0, deadline.remaining))
    return recordlog.LogError("no answer", True, 0)
