"""One request at a sidecar, from its arrival to its answer."""

import collections.abc
import dataclasses
import threading

from oleander_base import clock
from oleander_wire import messages

Sender = collections.abc.Callable[[messages.Message], None]


@dataclasses.dataclass(slots=True)
class PendingRun:
    """A request that waits or runs here."""

    work_id: str
    run: messages.Run
    deadline: clock.Deadline
    send: Sender
    """Sends tokens to the entry that asked."""
    answer: collections.abc.Callable[[messages.Answer], None]
    """Ends the request; called once."""
    cancelled: threading.Event
    is_abandoned: collections.abc.Callable[[], bool]
    """Tells whether the entry that asked has closed its link."""
    stop_backend: collections.abc.Callable[[], None] | None = None
    """Stops the running generation at the engine, where that is possible."""

    @property
    def is_unwanted(self) -> bool:
        """Whether nobody can use an answer any more."""
        return self.cancelled.is_set() or self.deadline.is_past

    def cancel(self) -> None:
        """Stop a repeatable request; one that may not be repeated runs to its end."""
        self.cancelled.set()
        stop = self.stop_backend
        if stop is not None:
            stop()
