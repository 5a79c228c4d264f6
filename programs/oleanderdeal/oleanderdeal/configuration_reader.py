"""Reads the configuration stream to its end for an operator's command."""

import collections.abc

import expression

from oleander_contracts import fold, records
from oleander_platform import logservice
from oleanderdeal import retrying_log

_MAX_RECORDS = 10_000
_MAX_BYTES = 64 * 1024 * 1024

NO_SNAPSHOT = "the log has deleted records and holds no snapshot that makes up for them"

RecordListener = collections.abc.Callable[[logservice.Record], None]


class ConfigurationReader:
    """
    Applies the stream's records as every process does, and passes each to a listener.

    The verdicts on the newest records are kept, bounded by count and by bytes.
    """

    def __init__(
        self, log: retrying_log.RetryingLog, listener: RecordListener | None = None
    ) -> None:
        self._log = log
        self._listener = listener
        self._fold = fold.ConfigurationFold(_MAX_RECORDS, _MAX_BYTES)

    @property
    def fold(self) -> fold.ConfigurationFold:
        """The configuration as of the last record read."""
        return self._fold

    def find_problem(self) -> str:
        """Read to the end; return why the configuration is unknown, or an empty string."""
        result = self.read_to_end()
        if result.is_error():
            return f"the log can't be read: {result.error.detail}"
        return NO_SNAPSHOT if self._fold.needs_snapshot else ""

    def read_to_end(self) -> expression.Result[None, logservice.LogError]:
        """Read until the current end of the stream, or until the command's deadline."""
        while True:
            previous_offset = self._fold.next_offset
            match self._log.read(records.STREAM, previous_offset):
                case expression.Result(tag="ok", ok=page):
                    self._apply_page(page)
                case expression.Result(error=error):
                    return expression.Error(error)
            if self._fold.next_offset >= page.next_offset:
                return expression.Ok(None)
            if self._fold.next_offset > previous_offset:
                continue
            if self._log.is_expired:
                return expression.Error(
                    _create_error("it does not return records that it says it has")
                )
            self._log.wait()

    def _apply_page(self, page: logservice.Page) -> None:
        self._fold.record_deleted(page.first_offset)
        for record in page.records:
            if record.offset != self._fold.next_offset:
                return
            self._fold.apply(record.offset, record.logged_at_ms, record.value)
            if self._listener is not None:
                self._listener(record)


def _create_error(detail: str) -> logservice.LogError:
    return logservice.LogError(detail, may_have_effect=False, retry_after_ms=0)
