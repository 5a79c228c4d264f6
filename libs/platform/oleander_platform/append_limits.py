"""How records are divided into appends that the log accepts."""

import collections.abc
import dataclasses

DEFAULT_RECORD_BYTES = 262_144
DEFAULT_CALL_BYTES = 2_097_152
MAX_CALL_BYTES = 1024 * 1024
"""The size of a call up to which records are put together, even if the log accepts more. A larger
call can take more than the timeout of an append on a link of 30 Mbit/s that also carries other
traffic, and would then time out at each attempt."""
_RECORD_OVERHEAD_BYTES = 16
"""Bytes that a call holds for each record besides its content, with a margin."""


@dataclasses.dataclass(slots=True, frozen=True)
class AppendLimits:
    """The largest record, and the largest sum of the records of one append, in bytes."""

    record_bytes: int = DEFAULT_RECORD_BYTES
    call_bytes: int = DEFAULT_CALL_BYTES

    @property
    def max_part_bytes(self) -> int:
        """The size of the parts into which a content larger than one record is split."""
        return max(1, min(self.record_bytes, self.max_joined_bytes - _RECORD_OVERHEAD_BYTES))

    @property
    def max_joined_bytes(self) -> int:
        """The sum up to which records are put into one call, with the overhead of each."""
        return min(self.call_bytes, MAX_CALL_BYTES)

    def allows(self, records: collections.abc.Sequence[bytes]) -> bool:
        """Return whether the log accepts these records in one append."""
        sizes = [len(record) for record in records]
        return max(sizes, default=0) <= self.record_bytes and sum(sizes) <= self.call_bytes

    def split(self, content: bytes) -> list[bytes]:
        """Split a content into consecutive parts, each of which fits into a record."""
        size = self.max_part_bytes
        return [content[start : start + size] for start in range(0, len(content), size)]

    def divide(self, sizes: collections.abc.Iterable[int]) -> list[range]:
        """
        Divide consecutive records of these sizes, in bytes, into calls.

        Return the range of indices of each call. A record that is larger than a call has one of
        its own, which the log rejects.
        """
        calls: list[range] = []
        start = 0
        joined = 0
        end = 0
        for end, size in enumerate(sizes):
            needed = size + _RECORD_OVERHEAD_BYTES
            if end > start and joined + needed > self.max_joined_bytes:
                calls.append(range(start, end))
                start, joined = end, 0
            joined += needed
        if joined:
            calls.append(range(start, end + 1))
        return calls
