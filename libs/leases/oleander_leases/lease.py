"""A lease with fencing numbers, held by one process at a time."""

import dataclasses
import threading

import cbor2

from oleander_base import clock, identifiers, log
from oleander_platform import recordlog

TERM_SECONDS = 2.5
"""How long a confirmed record lets its writer act; longer than several renewals, so that a lost
answer does not end it."""
_RENEW_SECONDS = 0.8
"""Between renewals."""
_GAP_MARGIN_SECONDS = 0.5
"""On top of the required gap, for calls on their way when the term ended."""
_READ_SECONDS = 1.4
"""A silent connection is given up well within the term and the gap."""
_APPEND_SECONDS = 0.7
"""Below the time between renewals: one that hangs leaves time for two more in the term."""
_RETRY_SECONDS = 0.2
"""Between tries while the log does not answer."""
_RELEASED = "released"
_HELD = "held"


@dataclasses.dataclass(slots=True, frozen=True)
class Tenure:
    """The permission to act until a deadline."""

    fencing_token: int
    """The offset of the record that began it; those of later holders are all higher."""
    deadline: clock.Deadline


@dataclasses.dataclass(slots=True, frozen=True)
class _LeaseRecord:
    """The newest record of the partition."""

    holder: str
    host: str
    state: str
    fencing_token: int
    read_at: float


class FencedLease:
    """
    Held by whoever wrote the newest record, until a deadline counted from before it was written.

    A holder may be suspended, cut off, or its partition dealt to another process while it goes on
    believing that it holds the lease; whoever it calls then hears from two holders and can't tell
    which is the newer. Here a successor appends its claim only where the log still ends at the
    last record that it has read, after that record is older, by its own clock, than the whole
    term and the gap that must lie between two holders. The earlier holder's deadline, counted
    by its own clock from before its last confirmed append, has passed by then however late
    that append took effect: an append that was delayed fails its condition or restarts the wait.

    A process that starts again on the holder's own host need not wait: a host runs one of them at
    a time, and those who are called take one host for one holder. Else nobody could act for six
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
        """Take what names this host alone, and the gap between the acts of two holders."""
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
        self._tenure: Tenure | None = None
        self._is_wanted = True

    @property
    def name(self) -> str:
        """The name of this holder; each run of a process has its own."""
        return self._name

    @property
    def takeover_seconds(self) -> float:
        """How long nobody holds the lease at most after its holder was lost."""
        return TERM_SECONDS + self._gap_seconds

    @property
    def was_last_holder(self) -> bool:
        """Whether this host wrote the newest record known here, and did not give the lease up."""
        newest = self._newest_record
        return newest is not None and newest.host == self._host and newest.state == _HELD

    @property
    def is_wanted(self) -> bool:
        """Whether it was not given up."""
        return self._is_wanted

    def find_tenure(self) -> Tenure | None:
        """Return the permission to act now, if this process has it."""
        with self._lock:
            tenure = self._tenure
        return None if tenure is None or tenure.deadline.is_past else tenure

    def acquire_or_renew(self, wait_ms: int) -> float:
        """Renew the lease, or read on and claim it where it is free; return when to try again."""
        if self.find_tenure() is not None:
            self._renew()
            return _RENEW_SECONDS
        if not self._read_new_records(wait_ms):
            return _RETRY_SECONDS
        if self._is_free():
            self._claim()
        return 0.0

    def release(self) -> None:
        """Give the lease up, once no call is on its way; the gap still has to pass."""
        self._is_wanted = False
        with self._lock:
            tenure, self._tenure = self._tenure, None
        if tenure is not None and not tenure.deadline.is_past:
            self._append(_RELEASED, tenure.fencing_token)

    def _is_free(self) -> bool:
        newest = self._newest_record
        if not self._has_read_all:
            return False
        if newest is None or newest.host == self._host:
            return True
        wait = self._gap_seconds + (TERM_SECONDS if newest.state == _HELD else 0.0)
        return clock.read_now() - newest.read_at > wait

    def _claim(self) -> None:
        started_at = clock.read_now()
        offset = self._append(_HELD, self._next_offset)
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
        if self._append(_HELD, tenure.fencing_token) is None:
            return
        with self._lock:
            if self._tenure is not None:
                deadline = clock.Deadline(started_at + TERM_SECONDS)
                self._tenure = Tenure(tenure.fencing_token, deadline)

    def _append(self, state: str, fencing_token: int) -> int | None:
        """Append where the partition ends as read; return the offset once it is confirmed."""
        content = cbor2.dumps([self._name, self._host, state, fencing_token])
        deadline = clock.start_deadline(_APPEND_SECONDS)
        offset = self._next_offset
        appended = self._log.append_at(self._topic, self._partition, [content], offset, deadline)
        if appended.is_ok():
            self._next_offset = offset + 1
            self._newest_record = _LeaseRecord(
                self._name, self._host, state, fencing_token, clock.read_now()
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
            log.warn_bounded("lease-unread", page.error.detail, topic=self._topic)
            return False
        for record in page.ok.records:
            self._apply(record)
        self._next_offset = max(self._next_offset, page.ok.next_offset)
        self._has_read_all = self._next_offset >= page.ok.end_offset
        return True

    def _apply(self, record: recordlog.RawRecord) -> None:
        """Take in a record; one that can't be read counts as held, the careful way."""
        try:
            holder, host, state, fencing_token = cbor2.loads(record.content)
        except (cbor2.CBORDecodeError, ValueError, TypeError):
            holder, host, state, fencing_token = "", "", _HELD, record.offset
        self._newest_record = _LeaseRecord(
            str(holder), str(host), str(state), record.offset, clock.read_now()
        )
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
                fencing=fencing_token,
            ).warning("taken")
