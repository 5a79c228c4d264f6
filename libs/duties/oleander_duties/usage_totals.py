"""What the log says of each window of use, the same for every process that has read as far."""

import collections

from oleander_duties import usage_records

MAX_WINDOWS = 64
"""Windows that are remembered; older ones are neither reported nor repeated any more."""
_MAX_SOURCES = 8192
"""Past this the source that was heard first is forgotten; its repeats would count again."""


class UsageTotals:
    """Sums what processes counted, and keeps what is reported of each window; not thread-safe."""

    def __init__(self) -> None:
        self._sums: dict[int, collections.Counter[str]] = {}
        self._reports: dict[int, dict[str, int]] = {}
        self._sequences: dict[str, int] = {}

    @property
    def newest_reported_window(self) -> int | None:
        """The newest window with a report."""
        return max(self._reports, default=None)

    @property
    def oldest_counted_window(self) -> int | None:
        """The oldest window in which any process counted."""
        return min(self._sums, default=None)

    def find_report(self, window: int) -> dict[str, int] | None:
        """Return what is reported of a window, whoever decided it."""
        return self._reports.get(window)

    def sum_window(self, window: int) -> dict[str, int]:
        """Return what all processes counted in a window, as far as known."""
        names: dict[str, int] = dict(self._sums.get(window, {}))
        return {name: count for name, count in sorted(names.items()) if count > 0}

    def apply(self, record: usage_records.UsageRecord) -> None:
        """Take in the next record."""
        if isinstance(record, usage_records.Reported):
            self._reports.setdefault(record.window, record.counts)
            _evict_oldest(self._reports)
        else:
            self._add(record)

    def _add(self, record: usage_records.Counted) -> None:
        """Add up a record, unless it is a repeat: an append without an answer is tried again."""
        if record.sequence <= self._sequences.pop(record.source, -1):
            return
        self._sequences[record.source] = record.sequence
        while len(self._sequences) > _MAX_SOURCES:
            self._sequences.pop(next(iter(self._sequences)))
        for window, names in record.counts.items():
            self._sums.setdefault(window, collections.Counter()).update(names)
        _evict_oldest(self._sums)


def _evict_oldest(
    windows: dict[int, collections.Counter[str]] | dict[int, dict[str, int]],
) -> None:
    while len(windows) > MAX_WINDOWS:
        del windows[min(windows)]
