"""A lease with fencing tokens that at most one process holds at a time."""

import dataclasses
import threading

import cbor2

from oleander_base import cbor_input, clock, identifiers, log
from oleander_platform import recordlog

TERM_SECONDS = 2.5
"""
How long a confirmed record allows its writer to act.

It spans several renewals, so that one lost answer does not end the lease.
"""
_RENEW_SECONDS = 0.8
"""The interval between renewals."""
_GAP_MARGIN_SECONDS = 0.5
"""Added to the required gap for calls that are in flight when the term ends."""
_READ_SECONDS = 1.4
"""The timeout of a read, well below the term and the gap together."""
_APPEND_SECONDS = 0.7
"""
The timeout of an append.

It is below the renewal interval, so that two more appends fit into the term after one times out.
"""
_RETRY_SECONDS = 0.2
"""The pause between attempts while the log does not answer."""
_RELEASED = "released"
_HELD = "held"


@dataclasses.dataclass(slots=True, frozen=True)
class Tenure:
    """The permission to act as the holder until a deadline."""

    fencing: int
    """The offset of the record that started the tenure; later holders have higher ones."""
    deadline: clock.Deadline


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimTerms:
    """When a process may claim a lease that is free, so that preferred processes come first."""

    not_before: float
    """Monotonic seconds before which the lease is not claimed."""
    lag_seconds: float
    """For how long the lease must have been free."""


AT_ONCE = ClaimTerms(0.0, 0.0)
"""The terms of a process that claims a lease as soon as it is free."""


@dataclasses.dataclass(slots=True, frozen=True)
class _LeaseRecord:
    """The newest record of the lease's partition."""

    holder: str
    host: str
    state: str
    fencing: int
    read_at: float


class FencedLease:
    """
    A lease held by the writer of the partition's newest record, until its term has passed.

    A holder may be suspended, disconnected, or replaced as the owner of its partition, and still
    believe that it holds the lease. Servers would then be called by two holders and could not
    tell which is the newer. Therefore a successor waits until the last record that it has read is
    older, by its own clock, than the term plus the gap that is required between two holders. It
    then appends its claim on the condition that the log still ends at that record.

    The earlier holder counts its deadline by its own clock from before its last confirmed append,
    so the deadline has passed by then, however late that append took effect: a delayed append
    either fails its condition or restarts the successor's wait.

    A process that restarts on the holder's host need not wait: a host runs one such process at a
    time, and servers treat a host as one holder. If it had to wait, no process could act for six
    seconds after all processes were restarted.
    """

    def __init__(
        self,
        log_service: recordlog.RecordLog,
        topic: str,
        host: str,
        gap_seconds: float,
        partition: int = 0,
    ) -> None:
        """
        Create a lease that is not held yet.

        `host` must be unique to this host. `gap_seconds` is the time that must pass between the
        last action of one holder and the first action of the next.
        """
        self._log = log_service
        self._topic = topic
        self._host = host
        self._partition = partition
        self._name = f"{host}/{identifiers.create_incarnation()}"
        self._gap_seconds = gap_seconds + _GAP_MARGIN_SECONDS
        self._lock = threading.Lock()
        self._next_offset = 0
        self._newest_record: _LeaseRecord | None = None
        self._has_read_all = False
        self._readable_since = 0.0
        self._tenure: Tenure | None = None
        self._is_wanted = True

    @property
    def name(self) -> str:
        """The name of this holder, unique to the process."""
        return self._name

    @property
    def takeover_seconds(self) -> float:
        """The longest time without a holder after the last one was lost, in seconds."""
        return TERM_SECONDS + self._gap_seconds

    @property
    def was_last_holder(self) -> bool:
        """Whether the newest known record is this host's and does not release the lease."""
        newest = self._newest_record
        return newest is not None and newest.host == self._host and newest.state == _HELD

    @property
    def is_wanted(self) -> bool:
        """Whether `release` has not been called."""
        return self._is_wanted

    def find_tenure(self) -> Tenure | None:
        """Return the tenure if this process holds the lease now, else None."""
        with self._lock:
            tenure = self._tenure
        return None if tenure is None or tenure.deadline.is_past else tenure

    def acquire_or_renew(self, wait_ms: int, terms: ClaimTerms = AT_ONCE) -> float:
        """
        Renew the lease, or claim it if it is free and the terms allow it.

        Return the seconds until the next attempt; 0 leaves them to the caller.
        """
        if self.find_tenure() is not None:
            self._renew()
            return _RENEW_SECONDS
        if not self._read_new_records(wait_ms):
            return _RETRY_SECONDS
        if self._is_free() and self.find_claim_wait(terms) <= 0.0:
            self._claim()
        return 0.0

    def find_claim_wait(self, terms: ClaimTerms) -> float:
        """
        Return the seconds until this process may claim the lease, by the records read so far.

        A host that was the last holder need not let others come first. Must not be called while
        `acquire_or_renew` runs.
        """
        if self.was_last_holder:
            return 0.0
        now = clock.read_now()
        free_at = self._find_free_at() + terms.lag_seconds
        return max(0.0, free_at - now, terms.not_before - now)

    def release(self) -> None:
        """Release the lease; no call may be in flight. The next holder still waits for the gap."""
        self._is_wanted = False
        with self._lock:
            tenure, self._tenure = self._tenure, None
        if tenure is not None and not tenure.deadline.is_past:
            self._append_record(_RELEASED, tenure.fencing)

    def _is_free(self) -> bool:
        newest = self._newest_record
        if not self._has_read_all:
            return False
        if newest is None or newest.host == self._host:
            return True
        return clock.read_now() - newest.read_at > self._compute_wait(newest)

    def _find_free_at(self) -> float:
        """
        Return when the lease was or will be free for this process, in monotonic seconds.

        It was not free while the log did not answer: after an outage that outlasts the lease, the
        holder would otherwise race with processes that are to let others come first.
        """
        newest = self._newest_record
        if newest is None:
            return self._readable_since
        wait = 0.0 if newest.host == self._host else self._compute_wait(newest)
        return max(self._readable_since, newest.read_at + wait)

    def _compute_wait(self, newest: _LeaseRecord) -> float:
        """Return the seconds from another host's record until a successor may claim."""
        return self._gap_seconds + (TERM_SECONDS if newest.state == _HELD else 0.0)

    def _claim(self) -> None:
        started_at = clock.read_now()
        offset = self._append_record(_HELD, self._next_offset)
        if offset is None:
            return
        deadline = clock.Deadline(started_at + TERM_SECONDS)
        with self._lock:
            self._tenure = Tenure(offset, deadline)
        log.logger.bind(
            event="lease-held",
            topic=self._topic,
            holder=self._name,
            partition=self._partition,
            fencing=offset,
        ).info("claimed")

    def _renew(self) -> None:
        tenure = self.find_tenure()
        if tenure is None:
            return
        started_at = clock.read_now()
        if self._append_record(_HELD, tenure.fencing) is None:
            return
        with self._lock:
            if self._tenure is not None:
                deadline = clock.Deadline(started_at + TERM_SECONDS)
                self._tenure = Tenure(tenure.fencing, deadline)

    def _append_record(self, state: str, fencing: int) -> int | None:
        """
        Append a record if the partition still ends where this process has read to.

        Return the record's offset, or None if the append was not confirmed.
        """
        content = cbor2.dumps([self._name, self._host, state, fencing])
        deadline = clock.start_deadline(_APPEND_SECONDS)
        offset = self._next_offset
        appended = self._log.append_at(self._topic, self._partition, [content], offset, deadline)
        if appended.is_ok():
            self._next_offset = offset + 1
            self._newest_record = _LeaseRecord(
                self._name, self._host, state, fencing, clock.read_now()
            )
            return offset
        log.warn_bounded("lease-unconfirmed", str(appended.error), topic=self._topic, state=state)
        self._read_new_records(0)
        return None

    def _read_new_records(self, wait_ms: int) -> bool:
        deadline = clock.start_deadline(_READ_SECONDS)
        wait_ms = wait_ms if self._has_read_all else 0
        page = self._log.read(self._topic, self._partition, self._next_offset, wait_ms, deadline)
        if page.is_error():
            self._readable_since = 0.0
            log.warn_bounded("lease-unread", page.error.detail, topic=self._topic)
            return False
        for record in page.ok.records:
            self._next_offset = record.offset + 1  # first, so a failure does not recur
            self._apply(record)
        self._next_offset = max(self._next_offset, page.ok.next_offset)
        self._has_read_all = self._next_offset >= page.ok.end_offset
        if self._has_read_all and not self._readable_since:
            self._readable_since = clock.read_now()
        return True

    def _apply(self, record: recordlog.RawRecord) -> None:
        """Apply a record; one that can't be decoded counts as held, which avoids two holders."""
        decoded = cbor_input.decode("lease", record.content)
        match decoded.default_value(None):
            case [str(holder), str(host), str(state), int(fencing)]:
                pass
            case _:
                log.warn_bounded("lease-record", "a malformed record", topic=self._topic)
                holder, host, state, fencing = "", "", _HELD, record.offset
        self._newest_record = _LeaseRecord(holder, host, state, record.offset, clock.read_now())
        if holder == self._name:
            return
        with self._lock:
            lost, self._tenure = self._tenure, None
        if lost is not None:
            log.logger.bind(
                event="lease-lost",
                topic=self._topic,
                holder=holder,
                partition=self._partition,
                fencing=fencing,
            ).warning("taken")
