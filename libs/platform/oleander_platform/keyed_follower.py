"""Follows a keyed topic of the log, in which only the newest value of each key is valid."""

import abc
import traceback

from oleander_base import clock, log, tasks
from oleander_platform import recordlog

_WAIT_MS = 1000
"""How long a read waits for records: short enough that a connection on which nothing arrives any
more is detected in time for a change to take effect."""
_READ_SECONDS = 1.4
"""The timeout of a read: the wait for records and the time that a slow answer takes."""
_PROBE_SECONDS = 0.6
"""The timeout of a read while the log is unavailable; it does not wait for records."""
_RETRY_SECONDS = 0.2
"""Delay between reads while the log does not answer, which limits the calls to five a second."""
_PARTITION = 0
_MAX_LOGGED_CHARACTERS = 80


class KeyedSink(abc.ABC):
    """Receives the contents and the changes of a keyed topic."""

    @abc.abstractmethod
    def put(self, key: str, value: bytes) -> None:
        """Store the newest value of a key."""

    @abc.abstractmethod
    def delete(self, key: str) -> None:
        """Delete a key."""

    @abc.abstractmethod
    def retain_only(self, keys: set[str]) -> None:
        """Delete all keys but these; called with the keys of a full read, before their values."""

    @abc.abstractmethod
    def mark_current(self) -> None:
        """Record that the values are current; called after each successful read."""


class KeyedFollower:
    """
    Reads one keyed topic into a sink: all keys first, then new records.

    The log may delete old records at any time, except the newest record of each key. A reader
    that had not read the deleted ones would miss a change, so a gap causes another full read.
    """

    def __init__(
        self,
        log_service: recordlog.RecordLog,
        topic: str,
        sink: KeyedSink,
        group: tasks.TaskGroup,
        pause_seconds: float,
    ) -> None:
        """Set the pause between reads, which limits the calls on a topic that changes often."""
        self._log = log_service
        self._topic = topic
        self._sink = sink
        self._group = group
        self._pause_seconds = pause_seconds
        self._next_offset: int | None = None
        self._is_log_lost = False

    def follow(self) -> None:
        """Read until the group stops."""
        while not self._group.is_stopping:
            succeeded = self._read_all() if self._next_offset is None else self._read_new()
            self._record_result(succeeded)
            self._group.pause(self._pause_seconds if succeeded else _RETRY_SECONDS)

    def _record_result(self, succeeded: bool) -> None:
        if succeeded:
            self._sink.mark_current()
        if self._is_log_lost == succeeded:
            self._is_log_lost = not succeeded
            event = "dependency-regained" if succeeded else "dependency-lost"
            log.logger.bind(event=event, topic=self._topic).info("the platform's log")

    def _read_all(self) -> bool:
        newest = self._log.read_newest(self._topic, clock.start_deadline(_READ_SECONDS))
        if newest.is_error():
            log.warn_bounded(f"unread-{self._topic}", newest.error.detail)
            return False
        records, next_offset = newest.ok
        self._sink.retain_only({item.key for item in records if item.value is not None})
        for item in records:
            self._apply(item)
        self._next_offset = next_offset
        return True

    def _read_new(self) -> bool:
        """
        Read new records; wait for the first one unless the log was unavailable.

        Only an answer shows that the log is available again. If nothing changes, a read that
        waits is answered after the full wait, and the process would refuse its callers for a
        second longer than necessary.
        """
        offset = self._next_offset or 0
        wait_ms = 0 if self._is_log_lost else _WAIT_MS
        deadline = clock.start_deadline(_PROBE_SECONDS if self._is_log_lost else _READ_SECONDS)
        read = self._log.read(self._topic, _PARTITION, offset, wait_ms, deadline)
        if read.is_error():
            log.warn_bounded(f"unread-{self._topic}", read.error.detail)
            return False
        page = read.ok
        if page.first_offset > offset:
            log.logger.bind(
                event="log-gap", topic=self._topic, read_to=offset, first=page.first_offset
            ).info("records were deleted before they were read: reading all keys again")
            self._next_offset = None
            return self._read_all()
        for record in page.records:
            item = recordlog.decode_keyed(record)
            if item is None:
                log.warn_bounded(f"record-{self._topic}", "a malformed record is ignored")
            else:
                self._apply(item)
        self._next_offset = page.next_offset
        return True

    def _apply(self, item: recordlog.KeyedRecord) -> None:
        """
        Apply a record; after a failure the key counts as deleted.

        A failure must not stop the follower. The page would be read and fail again, so that no
        later record were followed and the process lost all its servers.
        """
        try:
            if item.value is not None:
                self._sink.put(item.key, item.value)
                return
        except Exception as error:
            self._warn_of_failure(item, error)
        try:
            self._sink.delete(item.key)
        except Exception as error:
            self._warn_of_failure(item, error)

    def _warn_of_failure(self, item: recordlog.KeyedRecord, error: Exception) -> None:
        last = traceback.extract_tb(error.__traceback__)[-1]
        log.warn_bounded(
            f"record-failed-{self._topic}",
            f"{type(error).__name__} in {last.name}, line {last.lineno}: the key is removed",
            key=item.key[:_MAX_LOGGED_CHARACTERS],
            offset=item.offset,
        )
