"""Dependencies of the operators' commands, which tests replace by fakes."""

import collections.abc
import dataclasses
import typing

from oleander_base import clock
from oleander_platform import logservice
from oleanderdeal import entry_clients, output, retrying_log, settings

Pause = collections.abc.Callable[[float], None]


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorContext:
    """Settings, services, input and output of one command."""

    settings: settings.Settings
    log: logservice.LogService | None
    """None for a command that does not use the log."""
    entries: entry_clients.EntryClient
    source: typing.TextIO
    """Standard input, from which a contract can be read."""
    output: output.Output
    pause: Pause
    """Sleeps for a number of seconds."""

    def start_deadline(self) -> clock.Deadline:
        """Return the deadline of the whole command, `wait_ms` from now."""
        return clock.start_deadline_ms(self.settings.wait_ms)

    def open_log(self, deadline: clock.Deadline) -> retrying_log.RetryingLog:
        """Return the log, whose failed calls are retried until the deadline."""
        if self.log is None:
            raise ValueError("this command has no log: its context was created with log=None")
        return retrying_log.RetryingLog(
            self.log, self.settings.log_timeout_ms, deadline, self.pause
        )
