"""The append-only log, the only durable storage of the system."""

import abc
import dataclasses
import typing

import expression

from oleander_base import clock


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """One record of a stream; its offset never changes."""

    offset: int
    logged_at_ms: int
    """Unix time of the append by the clock of the log service; for display only."""
    value: dict[str, typing.Any]


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Consecutive records, and the range of offsets of the stream."""

    records: tuple[Record, ...]
    first_offset: int
    """The offset of the oldest record still in the log."""
    next_offset: int
    """The offset of the next record to be appended to the stream."""


@dataclasses.dataclass(slots=True, frozen=True)
class LogError:
    """A failed call to the log."""

    detail: str
    may_have_effect: bool
    """Whether the records of a failed append may be in the log, or appear in it later."""
    retry_after_ms: int
    is_final: bool = False
    """Whether the same call can never succeed, so that it must not be repeated."""
    answers: tuple[str, ...] = ()
    """What each send of the call was answered, the first one first; empty if nothing was sent."""


class LogService(abc.ABC):
    """Appends to and reads from named streams."""

    @abc.abstractmethod
    def append(
        self, stream: str, values: list[dict[str, typing.Any]], deadline: clock.Deadline
    ) -> expression.Result[int, LogError]:
        """Append records atomically; return the offset of the first."""

    @abc.abstractmethod
    def read(
        self, stream: str, offset: int, wait_ms: int, deadline: clock.Deadline
    ) -> expression.Result[Page, LogError]:
        """
        Return records from an offset on, waiting up to `wait_ms` for the first one.

        If the record at the offset was deleted, the page starts at the oldest one still kept.
        """
