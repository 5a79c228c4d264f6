"""Follows a keyed topic of the platform's log: the newest value of each key."""

import abc

from oleander_base import clock, log, tasks
from oleander_platform import recordlog

_WAIT_MS = 1000
"""A silent connection must be noticed while a change can still be in force in time."""
_READ_SECONDS = 1.4
"""Above the wait by a slow store's answer."""
_PROBE_SECONDS = 0.6
"""For a read while the log is away, which waits for no record."""
_RETRY_SECONDS = 0.2
"""Between tries while the log does not answer: five calls a second."""
_PARTITION = 0


class KeyedSink(abc.ABC):
    """Takes in what a keyed topic says."""

    @abc.abstractmethod
    def put(self, key: str, value: bytes) -> None:
        """Take in the newest value of a key."""

    @abc.abstractmethod
    def delete(self, key: str) -> None:
        """Take in that a key is gone."""

    @abc.abstractmethod
    def retain_only(self, keys: set[str]) -> None:
        """Take in all keys that there are, after a whole reading."""

    @abc.abstractmethod
    def mark_current(self) -> None:
        """Take in that the topic was read to its end."""


class KeyedFollower:
    """
    Reads one keyed topic into a sink, whole at first and then as it grows.

    The log may drop old records at any time. Whoever had not read them would miss a change for
    ever, so a gap leads to another whole reading; the newest record of each key is always kept.
    """

    def __init__(
        self,
        log_service: recordlog.RecordLog,
        topic: str,
        sink: KeyedSink,
        group: tasks.TaskGroup,
        pause_seconds: float,
    ) -> None:
        """Pause between reads, which bounds the calls where a topic changes all the time."""
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
        Read what is new, waiting for it unless the log was away.

        Only an answer shows that the log is back. Where nothing changes it would come after the
        whole wait, and the process would refuse its callers for a second longer than it must.
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
            ).info("reading the newest of each key")
            self._next_offset = None
            return self._read_all()
        for record in page.records:
            item = recordlog.decode_keyed(record)
            if item is None:
                log.warn_bounded(f"record-{self._topic}", "a malformed record is passed over")
            else:
                self._apply(item)
        self._next_offset = page.next_offset
        return True

    def _apply(self, item: recordlog.KeyedRecord) -> None:
        if item.value is None:
            self._sink.delete(item.key)
        else:
            self._sink.put(item.key, item.value)
