"""The append-only log: the only thing that lasts."""

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
    """When the log service took it, by the log's clock; for people to read."""
    value: dict[str, typing.Any]


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Consecutive records, and what the stream holds around them."""

    records: tuple[Record, ...]
    first_offset: int
    """The oldest record still kept."""
    next_offset: int
    """The offset that the stream's next record will get."""


@dataclasses.dataclass(slots=True, frozen=True)
class LogError:
    """A failed call to the log."""

    detail: str
    may_have_effect: bool
    """Whether records of a failed append may stand in the log, now or later."""
    retry_after_ms: int


class LogService(abc.ABC):
    """Appends to and reads from named streams."""

    @abc.abstractmethod
    def append(
        self, stream: str, values: list[dict[str, typing.Any]], deadline: clock.Deadline
    ) -> expression.Result[int, LogError]:
        """Append records together; return the offset of the first."""

    @abc.abstractmethod
    def read(
        self, stream: str, offset: int, wait_ms: int, deadline: clock.Deadline
    ) -> expression.Result[Page, LogError]:
        """
        Return records from an offset on, waiting a while for the first new one.

        An offset older than the oldest kept record starts at that record.
        """
