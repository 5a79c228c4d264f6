"""The platform's log as topics with partitions, whose records are bytes."""

import abc
import dataclasses

import expression

from oleander_base import clock
from oleander_platform import append_limits, logservice

LogError = logservice.LogError


@dataclasses.dataclass(slots=True, frozen=True)
class RawRecord:
    """A record; its offset in its partition never changes."""

    offset: int
    content: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class RawPage:
    """Consecutive records of a partition."""

    requested_offset: int
    records: tuple[RawRecord, ...]
    first_offset: int
    """The offset of the oldest record still in the log."""
    end_offset: int
    """The offset of the next record to be appended."""

    @property
    def next_offset(self) -> int:
        """
        The offset to read from next.

        A page without records does not advance it to `end_offset`: a record appended while the
        page was created would be skipped.
        """
        if self.records:
            return self.records[-1].offset + 1
        return max(self.requested_offset, self.first_offset)


@dataclasses.dataclass(slots=True, frozen=True)
class KeyedRecord:
    """The newest value of a key, or None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class AppendedRange:
    """The range of offsets of appended records; `end_offset` is exclusive."""

    first_offset: int
    end_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndMoved:
    """A conditional append had no effect: the partition does not end at the expected offset."""

    end_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class Membership:
    """
    The partitions assigned to a group member.

    This is a hint only, as other members may still act on older assignments.
    """

    generation: int
    partitions: frozenset[int]
    """The assigned partitions of the requested topic."""


@dataclasses.dataclass(slots=True, frozen=True)
class MemberRequest:
    """A request of a member to join a group or to remain in it."""

    group: str
    member: str
    topic: str
    ttl_ms: int
    """The member is removed if it sends no request for this long."""
    generation: int
    """The generation in the last answer; 0 in the first request."""


class RecordLog(abc.ABC):
    """Appends to and reads from partitions; their assignment to members is a hint only."""

    @property
    @abc.abstractmethod
    def limits(self) -> append_limits.AppendLimits:
        """The limits of one append; one beyond them fails with `is_final` set."""

    @abc.abstractmethod
    def append(
        self, topic: str, partition: int, records: list[bytes], deadline: clock.Deadline
    ) -> expression.Result[AppendedRange, LogError]:
        """Append all records or none; after a `may_have_effect` error they may appear later."""

    @abc.abstractmethod
    def append_at(
        self,
        topic: str,
        partition: int,
        records: list[bytes],
        end_offset: int,
        deadline: clock.Deadline,
    ) -> expression.Result[AppendedRange, LogError | EndMoved]:
        """Append if the partition ends at `end_offset`; otherwise do nothing."""

    @abc.abstractmethod
    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int, deadline: clock.Deadline
    ) -> expression.Result[RawPage, LogError]:
        """
        Return records from an offset on, waiting up to `wait_ms` for the first one.

        If the record at the offset was deleted, the page starts at the oldest one still kept.
        """

    @abc.abstractmethod
    def read_newest(
        self, topic: str, deadline: clock.Deadline
    ) -> expression.Result[tuple[tuple[KeyedRecord, ...], int], LogError]:
        """Return the newest record of each key of a keyed topic and the next offset to read."""

    @abc.abstractmethod
    def join(
        self, request: MemberRequest, deadline: clock.Deadline
    ) -> expression.Result[Membership, LogError]:
        """Join a group or remain in it; return the assigned partitions."""

    @abc.abstractmethod
    def leave(
        self, request: MemberRequest, deadline: clock.Deadline
    ) -> expression.Result[None, LogError]:
        """Leave a group, so that its partitions are assigned to other members at once."""


def encode_keyed(key: str, value: bytes) -> bytes:
    """
    Encode a record of a keyed topic: key length (one byte), key, value.

    An empty value deletes the key.
    """
    raw_key = key.encode()
    return bytes((len(raw_key),)) + raw_key + value


def decode_keyed(record: RawRecord) -> KeyedRecord | None:
    """Decode a record of a keyed topic; return None if it is malformed."""
    if not record.content:
        return None
    length = record.content[0]
    raw_key = record.content[1 : 1 + length]
    if len(raw_key) < length:
        return None
    try:
        key = raw_key.decode()
    except UnicodeDecodeError:
        return None
    value = record.content[1 + length :]
    return KeyedRecord(key, value or None, record.offset)
