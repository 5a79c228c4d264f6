"""Defines a request at a sidecar, from its arrival to its answer."""

import collections.abc
import dataclasses
import threading

from oleander_base import clock
from oleander_wire import messages

Sender = collections.abc.Callable[[messages.Message], None]


@dataclasses.dataclass(slots=True)
class PendingRun:
    """A request that is queued or running at this sidecar."""

    work_id: str
    run: messages.Run
    deadline: clock.Deadline
    send: Sender
    """Sends tokens to the entry that sent the request."""
    answer: collections.abc.Callable[[messages.Answer], None]
    """Sends the answer and ends the request; must be called exactly once."""
    cancelled: threading.Event
    is_abandoned: collections.abc.Callable[[], bool]
    """Returns whether the entry that sent the request has closed its link."""
    stop_backend: collections.abc.Callable[[], None] | None = None
    """Cancels the generation at the engine; `None` while none is running."""

    @property
    def is_unwanted(self) -> bool:
        """Whether the request is cancelled or past its deadline, so that no answer is wanted."""
        return self.cancelled.is_set() or self.deadline.is_past

    def cancel(self) -> None:
        """Cancel a repeatable request; the executor lets others run to their end."""
        self.cancelled.set()
        stop = self.stop_backend
        if stop is not None:
            stop()
