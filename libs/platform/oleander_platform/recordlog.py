"""The platform's log as topics of partitions that hold plain bytes."""

import abc
import dataclasses

import expression

from oleander_base import clock
from oleander_platform import logservice

LogError = logservice.LogError


@dataclasses.dataclass(slots=True, frozen=True)
class RawRecord:
    """One record; its offset in its partition never changes."""

    offset: int
    content: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class RawPage:
    """Consecutive records of a partition."""

    requested_offset: int
    records: tuple[RawRecord, ...]
    first_offset: int
    """The oldest record still kept."""
    end_offset: int
    """The offset that the next record will get."""

    @property
    def next_offset(self) -> int:
        """
        Where to go on reading.

        A page without records moves nobody on, whatever end it names: a record that came just as
        the page was written would be missed for ever.
        """
        if self.records:
            return self.records[-1].offset + 1
        return max(self.requested_offset, self.first_offset)


@dataclasses.dataclass(slots=True, frozen=True)
class KeyedRecord:
    """The newest value of a key, or nothing where the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class AppendedRange:
    """Where records stand."""

    first_offset: int
    end_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndMismatch:
    """A conditional append did nothing: the partition does not end where it was expected to."""

    end_offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class Membership:
    """What a member of a group was given; a hint, for others may act on older ones."""

    generation: int
    partitions: frozenset[int]
    """The partitions of the one topic asked for."""


@dataclasses.dataclass(slots=True, frozen=True)
class MemberRequest:
    """A member that joins a group or stays in it."""

    group: str
    member: str
    topic: str
    ttl_ms: int
    """The member counts as gone when it was not heard for so long."""
    generation: int
    """Of the last answer; 0 at first."""


class RecordLog(abc.ABC):
    """Appends to and reads from partitions; dealing them out to members is a hint only."""

    @abc.abstractmethod
    def append(
        self, topic: str, partition: int, records: list[bytes], deadline: clock.Deadline
    ) -> expression.Result[AppendedRange, LogError]:
        """Append all records or none; after an error that may have had effect they may come."""

    @abc.abstractmethod
    def append_at(
        self,
        topic: str,
        partition: int,
        records: list[bytes],
        end_offset: int,
        deadline: clock.Deadline,
    ) -> expression.Result[AppendedRange, LogError | EndMismatch]:
        """Append where the partition ends at an offset, and do nothing elsewhere."""

    @abc.abstractmethod
    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int, deadline: clock.Deadline
    ) -> expression.Result[RawPage, LogError]:
        """
        Return records from an offset on, waiting a while for the first.

        An offset older than the oldest kept record starts at that record.
        """

    @abc.abstractmethod
    def read_newest(
        self, topic: str, deadline: clock.Deadline
    ) -> expression.Result[tuple[tuple[KeyedRecord, ...], int], LogError]:
        """Return the newest record of each key of a keyed topic, and where to read on."""

    @abc.abstractmethod
    def join(
        self, request: MemberRequest, deadline: clock.Deadline
    ) -> expression.Result[Membership, LogError]:
        """Join a group, or stay in it."""

    @abc.abstractmethod
    def leave(
        self, request: MemberRequest, deadline: clock.Deadline
    ) -> expression.Result[None, LogError]:
        """Leave a group, so that others get the partitions at once."""


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic; without a value it drops the key."""
    raw_key = key.encode()
    return bytes((len(raw_key),)) + raw_key + value


def decode_keyed(record: RawRecord) -> KeyedRecord | None:
    """Return a record of a keyed topic, or nothing where it is malformed."""
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
