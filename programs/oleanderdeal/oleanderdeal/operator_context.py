"""What an operator's command works with."""

import collections.abc
import dataclasses
import typing

from oleander_base import clock
from oleander_platform import logservice
from oleanderdeal import entry_clients, output, retrying_log, settings

Pause = collections.abc.Callable[[float], None]


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorContext:
    """The services, the input and the output of one command."""

    settings: settings.Settings
    log: logservice.LogService | None
    """Nothing for a command that needs no log."""
    entries: entry_clients.EntryClient
    source: typing.TextIO
    output: output.Output
    pause: Pause
    """Waits so many seconds."""

    def start_deadline(self) -> clock.Deadline:
        """Return the end of the whole command."""
        return clock.start_deadline_ms(self.settings.wait_ms)

    def open_log(self, deadline: clock.Deadline) -> retrying_log.RetryingLog:
        """Return the log, asked again and again until the deadline."""
        if self.log is None:
            raise ValueError("this command was built without a log")
        return retrying_log.RetryingLog(
            self.log, self.settings.log_timeout_ms, deadline, self.pause
        )
