"""A bounded window of consecutive records in memory."""

import collections
import dataclasses
import itertools
import typing

from oleander_contracts import in_force


@dataclasses.dataclass(slots=True, frozen=True)
class KeptRecord:
    """A record of the log, and the verdict on it once it was applied."""

    offset: int
    logged_at_ms: int
    value: dict[str, typing.Any]
    verdict: in_force.Verdict | None = None


class RecordWindow:
    """
    Records with consecutive offsets; not thread-safe.

    Bounded in number and bytes: the oldest records are evicted, but the newest is always kept.
    """

    def __init__(self, first_offset: int, max_records: int, max_bytes: int) -> None:
        self._records: collections.deque[KeptRecord] = collections.deque()
        self._sizes: collections.deque[int] = collections.deque()
        self._bytes = 0
        self._next_offset = first_offset
        self._max_records = max_records
        self._max_bytes = max_bytes

    @property
    def first_offset(self) -> int:
        """The offset of the oldest record; the next offset if the window is empty."""
        return self._records[0].offset if self._records else self._next_offset

    @property
    def next_offset(self) -> int:
        """The offset of the next record to add."""
        return self._next_offset

    def add(self, record: KeptRecord) -> None:
        """Add the record at `next_offset`; evict the oldest ones that exceed the bounds."""
        size = in_force.measure_value(record.value) or 0
        self._records.append(record)
        self._sizes.append(size)
        self._bytes += size
        self._next_offset = record.offset + 1
        while len(self._records) > 1 and self._exceeds_bounds():
            self.pop_first()

    def pop_first(self) -> KeptRecord:
        """Remove and return the oldest record; raise IndexError if the window is empty."""
        self._bytes -= self._sizes.popleft()
        return self._records.popleft()

    def drop_before(self, offset: int) -> None:
        """Remove the records below an offset."""
        while self._records and self._records[0].offset < offset:
            self.pop_first()
        self._next_offset = max(self._next_offset, offset)

    def find(self, offset: int) -> KeptRecord | None:
        """Return the record at an offset, or None if it is not in the window."""
        index = offset - self.first_offset
        return self._records[index] if 0 <= index < len(self._records) else None

    def list_after(self, offset: int, max_bytes: int) -> tuple[KeptRecord, ...]:
        """Return the records after an offset: at least one, further ones within `max_bytes`."""
        taken: list[KeptRecord] = []
        total = 0
        start = max(0, offset + 1 - self.first_offset)
        following = zip(self._records, self._sizes, strict=True)
        for record, size in itertools.islice(following, start, None):
            total += size
            if taken and total > max_bytes:
                break
            taken.append(record)
        return tuple(taken)

    def _exceeds_bounds(self) -> bool:
        return len(self._records) > self._max_records or self._bytes > self._max_bytes
