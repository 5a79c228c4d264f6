"""Publishes weight versions to the configuration log, which every process follows."""

import dataclasses

import expression

from oleander_base import clock, tasks
from oleander_contracts import fold, records
from oleander_platform import doubtful_writes, logservice
from oleanderdeal import configuration

_POLL_SECONDS = 0.02
_MAX_DOUBTFUL = 256
"""Maximum number of versions of which an unanswered append is remembered."""


@dataclasses.dataclass(slots=True, frozen=True)
class PublishError:
    """A version that could not be confirmed as published; the fields go into the response."""

    status: int
    detail: str
    outcome: str
    reason: str
    retry_after_ms: int


class VersionPublisher:
    """Appends a version once and waits until the follower has read it back."""

    def __init__(
        self,
        service: logservice.LogService,
        current_configuration: fold.ConfigurationFold,
        group: tasks.TaskGroup,
    ) -> None:
        self._service = service
        self._configuration = current_configuration
        self._group = group
        self._writes = doubtful_writes.DoubtfulWrites(_MAX_DOUBTFUL)

    def publish(
        self, customer: str, model: str, version: int, uri: str, deadline: clock.Deadline
    ) -> expression.Result[int, PublishError]:
        """
        Return the offset of the record that published this version or a higher one.

        It may be the record of another entry, or of an earlier attempt that was not answered.
        """
        if self._find_offset(model, version) is None:
            error = self._append(customer, model, version, uri, deadline)
            if error is not None and self._find_offset(model, version) is None:
                return expression.Error(error)
        while not deadline.is_past and self._group.pause(_POLL_SECONDS):
            offset = self._find_offset(model, version)
            if offset is not None:
                return expression.Ok(offset)
        return expression.Error(
            PublishError(
                504,
                "The version was not read back.",
                "unknown",
                "too-late",
                1000,
            )
        )

    def _find_offset(self, model: str, version: int) -> int | None:
        found = self._configuration.find_version(model)
        return found.offset if found is not None and found.version >= version else None

    def _append(
        self, customer: str, model: str, version: int, uri: str, deadline: clock.Deadline
    ) -> PublishError | None:
        """Append the record; return the refusal, or None if it may be in the log."""
        record = records.VersionRecord(model=model, version=version, uri=uri, by=customer)
        key = f"{model}\n{version}"
        may_have_effect = True
        self._writes.begin(key)
        try:
            appended = self._service.append(configuration.STREAM, [record.to_value()], deadline)
            may_have_effect = appended.is_ok() or appended.error.may_have_effect
        finally:
            self._writes.finish(key, may_have_effect)
        if appended.is_ok() or self._writes.may_have_effect(key):
            return None
        return PublishError(
            503,
            "The log is down.",
            "not-run",
            "log-down",
            max(200, appended.error.retry_after_ms),
        )
