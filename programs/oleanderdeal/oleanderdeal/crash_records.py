"""Shares records of backend server crashes, and the requests that caused them, via the log."""

import collections
import threading

from oleander_base import clock, log, tasks
from oleander_direct import crash_guard
from oleander_platform import keyed_follower, recordlog
from oleander_quarantine import ledger, records

TOPIC = "oleander.crashes"
_PARTITION = 0
_APPEND_SECONDS = 1.0
_RETRY_SECONDS = 0.2
_EVICTION_SCAN_SECONDS = 1.0
"""Interval at which the ledger is scanned for evicted crashes."""
_MAX_PENDING = 4096
"""Bound of the queue; if it is full, the oldest records are dropped."""
_MAX_RECORDS_PER_APPEND = 256


class CrashSink(keyed_follower.KeyedSink):
    """
    Adds the crashes that any process recorded to the local ledger.

    If this process misses the removal of a crash, the ledger evicts it later by itself.
    """

    def __init__(self, crash_ledger: ledger.CrashLedger) -> None:
        self._ledger = crash_ledger

    def put(self, key: str, value: bytes) -> None:
        """Add a crash to the ledger; a malformed record is logged and ignored."""
        decoded = records.decode_key(key).bind(lambda name: records.decode_crash(name, value))
        if decoded.is_error():
            log.warn_bounded("crash-record", str(decoded.error))
            return
        crash = decoded.ok
        if not self._ledger.record_crash(crash.key, crash.was_alone):
            return
        quarantine = self._ledger.find_quarantine(crash.key.fingerprint)
        log.logger.bind(
            event="crash-heard",
            request=crash.key.fingerprint,
            server=crash.incarnation,
            quarantine_s=int(quarantine.remaining) if quarantine else 0,
        ).info("another process recorded a server crash during a request")

    def delete(self, key: str) -> None:
        """Remove a crash that was withdrawn."""
        decoded = records.decode_key(key)
        if decoded.is_ok():
            self._ledger.remove_crash(decoded.ok)

    def retain_only(self, keys: set[str]) -> None:
        """Remove nothing, since crashes of this process may not be in the log yet."""

    def mark_current(self) -> None:
        """Do nothing: crashes count even before the topic was read to its end."""


class CrashWriter(crash_guard.CrashPublisher):
    """
    Appends crashes to the log in order, and retries until each is acknowledged.

    A record that the log can never accept is dropped, so that it does not block the others.
    """

    def __init__(
        self,
        crash_ledger: ledger.CrashLedger,
        log_service: recordlog.RecordLog,
        topic: str,
        group: tasks.TaskGroup,
    ) -> None:
        self._ledger = crash_ledger
        self._log = log_service
        self._topic = topic
        self._group = group
        self._changed = threading.Condition()
        self._pending: collections.deque[bytes] = collections.deque(maxlen=_MAX_PENDING)

    def publish(self, crash: records.Crash) -> None:
        """Queue the record of a crash."""
        self._enqueue([recordlog.encode_keyed(crash.key.text, records.encode_crash(crash))])

    def withdraw(self, keys: list[records.CrashKey]) -> None:
        """Queue the removal of crashes from the log."""
        self._enqueue([recordlog.encode_keyed(key.text, b"") for key in keys])

    def write(self) -> None:
        """Append queued records until the group stops."""
        while not self._group.is_stopping:
            self.withdraw(self._ledger.pop_expired())
            if not self.append_pending():
                self._group.pause(_RETRY_SECONDS)

    def append_pending(self) -> bool:
        """Append queued records, waiting briefly for the first; return False if that failed."""
        with self._changed:
            if not self._pending:
                self._changed.wait(_EVICTION_SCAN_SECONDS)
            taken = [
                self._pending.popleft()
                for _ in range(min(_MAX_RECORDS_PER_APPEND, len(self._pending)))
            ]
        if not taken:
            return True
        unwritten = self._append(taken)
        with self._changed:
            capacity = _MAX_PENDING - len(self._pending)
            self._pending.extendleft(reversed(unwritten[-capacity:] if capacity else []))
        return not unwritten

    def _append(self, added: list[bytes]) -> list[bytes]:
        """Append records in order; return those to try again."""
        for call in self._log.limits.divide(map(len, added)):
            first, end = call.start, call.stop
            deadline = clock.start_deadline(_APPEND_SECONDS)
            appended = self._log.append(self._topic, _PARTITION, added[first:end], deadline)
            if appended.is_ok():
                continue
            log.warn_bounded("crashes-unwritten", appended.error.detail, records=end - first)
            if not appended.error.is_final:
                return added[first:]
            unwritten = self._append_singly(added[first:end])
            if unwritten:
                return unwritten + added[end:]
        return []

    def _append_singly(self, added: list[bytes]) -> list[bytes]:
        """Append records one by one and drop those that are never accepted; return the rest."""
        for index, record in enumerate(added):
            deadline = clock.start_deadline(_APPEND_SECONDS)
            appended = self._log.append(self._topic, _PARTITION, [record], deadline)
            if appended.is_ok():
                continue
            if not appended.error.is_final:
                return added[index:]
            log.warn_bounded("crash-abandoned", appended.error.detail, bytes=len(record))
        return []

    def _enqueue(self, added: list[bytes]) -> None:
        if not added:
            return
        with self._changed:
            if len(self._pending) + len(added) > _MAX_PENDING:
                log.warn_bounded("crashes-dropped", "the queue of crash records is full")
            self._pending.extend(added)
            self._changed.notify()
