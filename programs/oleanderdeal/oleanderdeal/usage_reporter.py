"""
Collects the usage counts of all entries in the log; one entry reports them to the platform.

Time is divided into windows of equal length, and each report holds the counts of one window. The
duty of reporting belongs to the process that owns the partition `_PARTITION`. Only the holder of a
lease may report, because two processes may act as owners of a partition for a while.
"""

import dataclasses
import threading

from oleander_base import clock, identifiers, log, metrics, tasks
from oleander_duties import platform, usage, usage_records, usage_totals
from oleander_leases import lease
from oleander_platform import recordlog
from oleanderdeal import ownership

USAGE_TOPIC = "oleander.usage"
LEASE_TOPIC = "oleander.duties"
_PARTITION = 0
"""Partition of both topics. With one, all counts and reports have one order, and one lease covers
the duty of reporting."""
_FLUSH_INTERVAL_SECONDS = 0.5
"""A killed process loses at most the counts of this interval."""
_APPEND_TIMEOUT_SECONDS = 1.0
_READ_TIMEOUT_SECONDS = 1.0
_REPORT_INTERVAL_SECONDS = 0.2
"""Pause between two checks for windows that are due."""
_LEASE_CHECK_SECONDS = 0.5
"""Pause until a process without the lease checks again whether it should claim it."""
_CALL_TIMEOUT_SECONDS = 0.8
_MIN_TENURE_SECONDS = 1.0
"""Shortest remaining lease with which a call is started. A later call could reach the platform
when a successor may already report."""
_TAKEOVER_MARGIN_SECONDS = 1.0
"""Time for a successor's reads and calls, in addition to the time to take over the lease."""
_MIN_WAIT_SECONDS = 1.0
"""Shortest time from the end of a window to its report. Processes append the counts of the window
within this time."""
_REPEATED_WINDOWS = 2
"""Number of reports that a new holder sends again, as it can't know whether the platform received
them."""

_UNREAD = recordlog.LogError("the log was not read to its end", False, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class UsageSettings:
    """Timing and identity for usage reports."""

    window_ms: int
    """Length of a window."""
    due_ms: int
    """Time after the end of a window by which its report is due."""
    holder: str
    """The name under which this process reports."""


class UsageReporter:
    """
    Reports each window with the same counts, whichever process reports it.

    Each process appends its counts to the log. The holder of the lease sums a window, appends the
    report to the log, and sends the first report of the window that the log holds. So a holder
    that was suspended between the two steps and its successor can't send different counts.
    """

    def __init__(
        self,
        settings: UsageSettings,
        log_service: recordlog.RecordLog,
        duty_lease: lease.FencedLease,
        ownership_: ownership.PartitionOwnership,
        counter: usage.UsageCounter,
        duty_platform: platform.DutyPlatform,
        group: tasks.TaskGroup,
    ) -> None:
        self._settings = settings
        self._log = log_service
        self._lease = duty_lease
        self._ownership = ownership_
        self._counter = counter
        self._platform = duty_platform
        self._group = group
        self._source = identifiers.create_incarnation()
        self._flush_lock = threading.Lock()
        self._sequence = 0
        self._unconfirmed: list[usage_records.Counted] = []
        """Counts whose append was not acknowledged yet, the oldest first."""
        self._fold = usage_totals.UsageTotals()
        self._next_offset = 0
        self._decide_not_before = 0.0
        """Until this time no report is appended. A failed read sets it, because counts of other
        processes may then be appended late."""
        self._next_window: int | None = None
        """The next window to report; `None` while the lease is not held."""

    def flush_repeatedly(self) -> None:
        """Append the counts at intervals, until the group stops."""
        while not self._group.is_stopping:
            self._group.pause(_FLUSH_INTERVAL_SECONDS)
            self.flush()

    def flush(self) -> bool:
        """
        Append the counts since the last call; return whether none are left to append.

        Counts whose append was not acknowledged are appended again, with the same sequence number,
        before any later ones. Counts that the log can never accept are dropped.
        """
        with self._flush_lock:
            if not self._unconfirmed:
                self._unconfirmed = self._take_records()
            while self._unconfirmed:
                failure = self._append(self._unconfirmed[0])
                if failure is not None and not failure.is_final:
                    return False
                self._unconfirmed.pop(0)
            return True

    def _take_records(self) -> list[usage_records.Counted]:
        """Return records of the counts since the last call, each within the log's limit."""
        counts = self._counter.take_counts()
        if not counts:
            return []
        record = usage_records.Counted(self._source, self._sequence + 1, counts)
        divided = usage_records.divide_record(record, self._log.limits.max_part_bytes)
        self._sequence = divided[-1].sequence
        return divided

    def keep_lease(self) -> None:
        """Claim and renew the lease while this process owns the duty, until the group stops."""
        while not self._group.is_stopping and self._lease.is_wanted:
            self._group.pause(self.try_hold_lease())

    def try_hold_lease(self) -> float:
        """
        Claim or renew the lease if this process should hold it; return the seconds to wait.

        After an outage of the log the last holder also claims the lease, even if another
        process owns the duty. It may claim at once, while another process must wait for the term
        of the lease and the required gap between holders, which would make reports late.
        """
        pause = 0.0
        if self._ownership.owns(_PARTITION) or self._lease.was_last_holder:
            pause = self._lease.acquire_or_renew(0)
        return pause or _LEASE_CHECK_SECONDS

    def report_repeatedly(self) -> None:
        """Report the windows that are due at intervals, until the group stops."""
        while not self._group.is_stopping:
            self._group.pause(_REPORT_INTERVAL_SECONDS)
            self.report_due()

    def release_lease(self) -> None:
        """Stop reporting and release the lease for another process."""
        self._lease.release()

    def report_due(self) -> None:
        """Report the windows whose counts are complete, the oldest first, if the lease is held."""
        if self._find_tenure() is None:
            self._next_window = None
            return
        newest = (clock.read_wall_ms() - self._report_delay_ms) // self._settings.window_ms - 1
        if self._next_window is not None and self._next_window > newest:
            return
        if not self._read_records():
            return
        if self._next_window is None:
            self._next_window = self._find_first_window()
        while self._next_window <= newest:
            if not self._report_window(self._next_window):
                return
            self._next_window += 1

    @property
    def _report_delay_ms(self) -> int:
        """Delay of a report after its window, short enough that a successor could still report."""
        takeover_seconds = self._lease.takeover_seconds + _TAKEOVER_MARGIN_SECONDS
        left_ms = self._settings.due_ms - int(takeover_seconds * 1000)
        return max(left_ms, int(_MIN_WAIT_SECONDS * 1000))

    def _find_first_window(self) -> int:
        """
        Return the first window that a new holder reports.

        If windows were reported before, it repeats the last ones. Otherwise it begins at the
        oldest window whose counts may still arrive: a process may have counted before there was a
        holder, and append its counts a moment later.
        """
        current = clock.read_wall_ms() // self._settings.window_ms
        first_not_due = (clock.read_wall_ms() - self._report_delay_ms) // self._settings.window_ms
        newest_reported = self._fold.newest_reported_window
        if newest_reported is not None:
            return max(current - usage_totals.MAX_WINDOWS, newest_reported + 1 - _REPEATED_WINDOWS)
        oldest_counted = self._fold.oldest_counted_window
        oldest = first_not_due if oldest_counted is None else min(first_not_due, oldest_counted)
        return max(current - usage_totals.MAX_WINDOWS, oldest)

    def _report_window(self, window: int) -> bool:
        """Report one window; return whether nothing is left to do for it."""
        counts = self._fold.find_report(window)
        if counts is None:
            newest = self._fold.newest_reported_window
            if newest is not None and window <= newest:
                return True
            failure = self._append_report(window)
            if failure is not None:
                return failure.is_final
            counts = self._fold.find_report(window)
        return counts is not None and self._send(platform.UsageReport(window, counts))

    def _append_report(self, window: int) -> recordlog.LogError | None:
        """
        Append a window's report and read the log, where another process's may precede it.

        Return why that failed, or None. A report that the log can never accept is skipped, so
        that the windows after it are reported.
        """
        if clock.read_now() < self._decide_not_before:
            return _UNREAD
        counts = self._fold.sum_window(window)
        failure = self._append(usage_records.Reported(window, counts))
        return failure or (None if self._read_records() else _UNREAD)

    def _send(self, report: platform.UsageReport) -> bool:
        """
        Send a report; return whether the platform has received it or has rejected it for good.

        The lease is checked right before the call, and the call times out before the lease ends.
        """
        tenure = self._find_tenure()
        if tenure is None:
            return False
        holder = platform.DutyHolder(self._settings.holder, tenure.fencing)
        deadline = tenure.deadline.cap(_CALL_TIMEOUT_SECONDS)
        outcome = self._platform.report_usage(report, holder, deadline)
        log.logger.bind(
            event="usage-reported",
            window=report.window,
            organisations=len(report.counts),
            requests=sum(report.counts.values()),
            fencing=tenure.fencing,
            tenure_left_ms=tenure.deadline.remaining_ms,
        ).info(str(outcome))
        metrics.count(metrics.USAGE_REPORTS)
        return not isinstance(outcome, platform.DutyUnknown)

    def _find_tenure(self) -> lease.Tenure | None:
        """Return the current tenure of the lease, or `None` if too little is left for a call."""
        tenure = self._lease.find_tenure()
        if tenure is None or tenure.deadline.remaining < _MIN_TENURE_SECONDS:
            return None
        return tenure

    def _append(self, record: usage_records.UsageRecord) -> recordlog.LogError | None:
        """Append a record; return why that failed, or None."""
        content = usage_records.encode_record(record)
        deadline = clock.start_deadline(_APPEND_TIMEOUT_SECONDS)
        appended = self._log.append(USAGE_TOPIC, _PARTITION, [content], deadline)
        if appended.is_ok():
            return None
        error = appended.error
        event = "usage-abandoned" if error.is_final else "usage-unappended"
        log.warn_bounded(event, error.detail, bytes=len(content))
        return error

    def _read_records(self) -> bool:
        """Apply all records up to the end of the topic; return success."""
        deadline = clock.start_deadline(_READ_TIMEOUT_SECONDS)
        while True:
            page = self._log.read(USAGE_TOPIC, _PARTITION, self._next_offset, 0, deadline)
            if page.is_error():
                log.warn_bounded("usage-unread", page.error.detail)
                self._decide_not_before = clock.read_now() + _MIN_WAIT_SECONDS
                return False
            for record in page.ok.records:
                self._next_offset = record.offset + 1  # first, so a failure does not recur
                self._apply_record(record)
            self._next_offset = max(self._next_offset, page.ok.next_offset)
            if self._next_offset >= page.ok.end_offset:
                break
            if deadline.is_past or not page.ok.records:
                return False
        return True

    def _apply_record(self, record: recordlog.RawRecord) -> None:
        """
        Apply a record unless it is malformed or names a window that is far ahead.

        A report of such a window would make each earlier one count as reported, and counts in many
        of them would evict the windows that are still to be reported.
        """
        decoded = usage_records.decode_record(record.content)
        current = clock.read_wall_ms() // self._settings.window_ms
        if decoded.is_error():
            log.warn_bounded("usage-record", str(decoded.error), offset=record.offset)
        elif decoded.ok.newest_window > current + usage_totals.MAX_WINDOWS:
            log.warn_bounded("usage-record", "is of a window far ahead", offset=record.offset)
        else:
            self._fold.apply(decoded.ok)
