"""Usage totals by window, computed from the records in the log."""

import collections

from oleander_duties import usage_records

MAX_WINDOWS = 64
"""How many windows are kept; older windows are not reported, whether they were before or not."""
_MAX_SOURCES = 8192
"""
How many sources are kept to detect repeated records.

When there are more, the one whose last record is the oldest is evicted. Repetitions of its
records would be counted again.
"""


class UsageTotals:
    """
    Sums the counts of all processes, and keeps the report of each window; not thread-safe.

    All processes that have applied the same records have the same totals.
    """

    def __init__(self) -> None:
        self._sums: dict[int, collections.Counter[str]] = {}
        self._reports: dict[int, dict[str, int]] = {}
        self._sequences: dict[str, int] = {}

    @property
    def newest_reported_window(self) -> int | None:
        """The newest window with a report, or None."""
        return max(self._reports, default=None)

    @property
    def oldest_counted_window(self) -> int | None:
        """The oldest window in which any process counted requests, or None."""
        return min(self._sums, default=None)

    def find_report(self, window: int) -> dict[str, int] | None:
        """Return the report of a window, whichever process recorded it, or None."""
        return self._reports.get(window)

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the known counts of all processes in a window, by organisation."""
        names: dict[str, int] = dict(self._sums.get(window, {}))
        return {name: count for name, count in sorted(names.items()) if count > 0}

    def apply(self, record: usage_records.UsageRecord) -> None:
        """Apply the next record of the log."""
        if isinstance(record, usage_records.Reported):
            self._reports.setdefault(record.window, record.counts)
            _evict_oldest(self._reports)
        else:
            self._add(record)

    def _add(self, record: usage_records.Counted) -> None:
        """Add a record's counts unless it is a repetition, as after an unanswered append."""
        known = self._sequences.pop(record.source, -1)
        self._sequences[record.source] = max(known, record.sequence)
        if record.sequence <= known:
            return
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
