"""Collects what all entries counted of use, and reports it in the name of one of them."""

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
"""Of both topics: one order of all counts and reports, and one lease for the duty."""
_FLUSH_SECONDS = 0.5
"""What a process that is killed leaves uncounted at most."""
_APPEND_SECONDS = 1.0
_READ_SECONDS = 1.0
_LOOK_SECONDS = 0.2
_LEASE_LOOK_SECONDS = 0.5
_CALL_SECONDS = 0.8
_LEAST_TENURE_SECONDS = 1.0
"""With less of the lease left no call is begun: it could arrive when a successor may call."""
_TAKEOVER_MARGIN_SECONDS = 1.0
"""On top of a takeover of the lease, for a successor's reads and calls."""
_LEAST_WAIT_SECONDS = 1.0
"""From the end of a window to its report: processes append what they counted within this time."""
_REPEATED_WINDOWS = 2
"""A new holder repeats so many reports: it can't know whether the platform has them."""


@dataclasses.dataclass(slots=True, frozen=True)
class UsageSettings:
    """How use is to be reported."""

    window_ms: int
    due_ms: int
    """A window is due so long after its end."""
    holder: str
    """The name in which this process does the duty."""


class UsageReporter:
    """
    Reports each window once, with the same counts whoever reports it.

    Each process appends what it counted to the log. The holder of the lease sums a window, appends
    the report, and sends what the log holds as the window's first report: a holder that was
    suspended between the two, and its successor, can't send different counts for one window.
    """

    def __init__(
        self,
        settings: UsageSettings,
        log_service: recordlog.RecordLog,
        duty_lease: lease.FencedLease,
        ownership_: ownership.Ownership,
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
        self._unconfirmed: dict[int, dict[str, int]] = {}
        self._fold = usage_totals.UsageTotals()
        self._next_offset = 0
        self._settled_at = 0.0
        self._next_window: int | None = None

    def flush_counts(self) -> None:
        """Append what was counted every so often, until the group stops."""
        while not self._group.is_stopping:
            self._group.pause(_FLUSH_SECONDS)
            self.flush()

    def flush(self) -> bool:
        """
        Append what was counted; return whether nothing waits any more.

        Counts without an answer are appended again under the same number before any later ones.
        """
        with self._flush_lock:
            if not self._unconfirmed:
                self._unconfirmed = self._counter.take_counts()
                self._sequence += 1
            if not self._unconfirmed:
                return True
            record = usage_records.Counted(self._source, self._sequence, self._unconfirmed)
            if not self._append(record):
                return False
            self._unconfirmed = {}
            return True

    def keep_lease(self) -> None:
        """Hold the lease while the duty falls to this process, until the group stops."""
        while not self._group.is_stopping and self._lease.is_wanted:
            self._group.pause(self.hold_lease())

    def hold_lease(self) -> float:
        """
        Claim or renew the lease where it falls to this process; return when to try again.

        Who held it last goes on after an outage of the log: it may claim at once, while another
        process has to wait for the term and the gap, and windows would be late.
        """
        pause = 0.0
        if self._ownership.owns(_PARTITION) or self._lease.was_last_holder:
            pause = self._lease.acquire_or_renew(0)
        return pause or _LEASE_LOOK_SECONDS

    def report(self) -> None:
        """Report the windows that are due while the lease is held, until the group stops."""
        while not self._group.is_stopping:
            self._group.pause(_LOOK_SECONDS)
            self.report_due()

    def leave(self) -> None:
        """Report no more, and leave the lease to another process."""
        self._lease.release()

    def report_due(self) -> None:
        """Report the windows whose counts are in, the oldest first, where the lease is held."""
        if self._find_tenure() is None:
            self._next_window = None
            return
        newest = (clock.read_wall_ms() - self._wait_ms) // self._settings.window_ms - 1
        if self._next_window is not None and self._next_window > newest:
            return
        if not self._read_on():
            return
        if self._next_window is None:
            self._next_window = self._find_first()
        while self._next_window <= newest:
            if not self._report_window(self._next_window):
                return
            self._next_window += 1

    @property
    def _wait_ms(self) -> int:
        """Leave a successor the time to report, should this holder be lost just before."""
        takeover_seconds = self._lease.takeover_seconds + _TAKEOVER_MARGIN_SECONDS
        left_ms = self._settings.due_ms - int(takeover_seconds * 1000)
        return max(left_ms, int(_LEAST_WAIT_SECONDS * 1000))

    def _find_first(self) -> int:
        """
        Return where a new holder begins: at the first window that is not settled.

        Where nothing was reported before, that is the oldest one whose counts may still come: a
        process may have counted before there was a holder, and append it a moment later.
        """
        now = clock.read_wall_ms() // self._settings.window_ms
        unsettled = (clock.read_wall_ms() - self._wait_ms) // self._settings.window_ms
        reported = self._fold.newest_reported_window
        if reported is not None:
            return max(now - usage_totals.MAX_WINDOWS, reported + 1 - _REPEATED_WINDOWS)
        counted = self._fold.oldest_counted_window
        oldest = unsettled if counted is None else min(unsettled, counted)
        return max(now - usage_totals.MAX_WINDOWS, oldest)

    def _report_window(self, window: int) -> bool:
        """Report one window; return whether it is settled."""
        counts = self._fold.find_report(window)
        if counts is None:
            newest = self._fold.newest_reported_window
            if newest is not None and window <= newest:
                return True
            if not self._decide(window):
                return False
            counts = self._fold.find_report(window)
        return counts is not None and self._send(platform.UsageReport(window, counts))

    def _decide(self, window: int) -> bool:
        """Append a window's report and read it back: another one may stand before it."""
        if clock.read_now() < self._settled_at:
            return False
        counts = self._fold.sum_window(window)
        return self._append(usage_records.Reported(window, counts)) and self._read_on()

    def _send(self, report: platform.UsageReport) -> bool:
        """
        Send a report; return whether the platform has it, or never will.

        The lease is looked up right before the call leaves, and the call ends before it does.
        """
        tenure = self._find_tenure()
        if tenure is None:
            return False
        holder = platform.DutyHolder(self._settings.holder, tenure.fencing)
        deadline = tenure.deadline.earlier(_CALL_SECONDS)
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
        tenure = self._lease.find_tenure()
        if tenure is None or tenure.deadline.remaining < _LEAST_TENURE_SECONDS:
            return None
        return tenure

    def _append(self, record: usage_records.UsageRecord) -> bool:
        content = usage_records.encode_record(record)
        deadline = clock.start_deadline(_APPEND_SECONDS)
        appended = self._log.append(USAGE_TOPIC, _PARTITION, [content], deadline)
        if appended.is_error():
            log.warn_bounded("usage-unappended", appended.error.detail)
        return appended.is_ok()

    def _read_on(self) -> bool:
        """Read to the end of the records; return success."""
        deadline = clock.start_deadline(_READ_SECONDS)
        while True:
            page = self._log.read(USAGE_TOPIC, _PARTITION, self._next_offset, 0, deadline)
            if page.is_error():
                log.warn_bounded("usage-unread", page.error.detail)
                self._settled_at = clock.read_now() + _LEAST_WAIT_SECONDS
                return False
            for record in page.ok.records:
                self._take(record)
            self._next_offset = max(self._next_offset, page.ok.next_offset)
            if self._next_offset >= page.ok.end_offset:
                break
            if deadline.is_past or not page.ok.records:
                return False
        return True

    def _take(self, record: recordlog.RawRecord) -> None:
        decoded = usage_records.decode_record(record.content)
        if decoded.is_ok():
            self._fold.apply(decoded.ok)
        else:
            log.warn_bounded("usage-record", str(decoded.error), offset=record.offset)
