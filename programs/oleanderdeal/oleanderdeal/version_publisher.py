"""Publishes weight versions to the configuration log, which every process follows."""

import dataclasses

import expression

from oleander_base import clock, tasks
from oleander_contracts import fold, records
from oleander_platform import logservice
from oleanderdeal import configuration

_POLL_SECONDS = 0.02


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

    def publish(
        self, customer: str, model: str, version: int, uri: str, deadline: clock.Deadline
    ) -> expression.Result[int, PublishError]:
        """Return the offset of the record that published this version or a higher one."""
        if self._find_offset(model, version) is None:
            error = self._append(customer, model, version, uri, deadline)
            if error is not None:
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
        record = records.VersionRecord(model=model, version=version, uri=uri, by=customer)
        appended = self._service.append(configuration.STREAM, [record.to_value()], deadline)
        if appended.is_ok() or appended.error.may_have_effect:
            return None
        return PublishError(
            503,
            "The log is down.",
            "not-run",
            "log-down",
            max(200, appended.error.retry_after_ms),
        )
