"""Requests in flight to a sidecar, and the events received for them."""

import dataclasses
import queue
import threading

from oleander_base import clock, identifiers
from oleander_wire import messages

_MAX_QUEUED_EVENTS = 4096
"""Bound on the events that one call queues; above it the call ends as if its link was lost."""
_POLL_SECONDS = 0.1
"""Longest time before a wait notices that the event queue has overflowed."""


@dataclasses.dataclass(slots=True, frozen=True)
class LinkLost:
    """The link was lost during a call; the request may have run or may still be running."""


CallEvent = messages.Tokens | messages.Answer | LinkLost


class Call:
    """
    One request in flight to a sidecar; receives events until its answer or the link's loss.

    The event queue is bounded. If a caller reads so slowly that it fills up, the call ends as if
    its link was lost, because dropping single tokens would leave gaps in the answer.
    `is_sole_sender` means that no other process sends this request.
    """

    def __init__(self, request_id: str, peer: str, is_only_one: bool) -> None:
        self.request_id = request_id
        self.peer = peer
        self.is_sole_sender = is_only_one
        self._events: queue.Queue[CallEvent] = queue.Queue(_MAX_QUEUED_EVENTS)
        self._overflowed = threading.Event()

    def put(self, event: CallEvent) -> None:
        """Queue an event for the waiting thread; on overflow the call counts as lost."""
        try:
            self._events.put_nowait(event)
        except queue.Full:
            self._overflowed.set()

    def wait(self, deadline: clock.Deadline) -> CallEvent | None:
        """Return the next event, or `None` at the deadline."""
        if self._overflowed.is_set():
            return LinkLost()
        try:
            return self._events.get(timeout=max(0.001, deadline.remaining))
        except queue.Empty:
            return None


def await_answer(call: Call, deadline: clock.Deadline) -> messages.Answer | None:
    """Return the answer, or `None` if the link is lost or the deadline passes."""
    while not deadline.is_past:
        event = call.wait(deadline.cap(_POLL_SECONDS))
        if isinstance(event, messages.Answer):
            return event
        if isinstance(event, LinkLost):
            return None
    return None


def create_request_id() -> str:
    """Return a random id that matches the messages of one request and its answer."""
    return identifiers.create_nonce()
