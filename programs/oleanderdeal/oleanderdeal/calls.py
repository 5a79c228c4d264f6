"""Requests that were sent to a sidecar, and what comes back for them."""

import dataclasses
import queue
import threading

from oleander_base import clock, identifiers
from oleander_wire import messages

_MAX_QUEUED_EVENTS = 4096
_POLL_SECONDS = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class LinkLost:
    """The link broke while a call was open; the request may have run or still be running."""


CallEvent = messages.Tokens | messages.Answer | LinkLost


class Call:
    """
    One request that was sent to a sidecar; events come until an answer or the link's loss.

    The queue is bounded. When a caller reads so slowly that it fills up, tokens are not dropped
    singly, which would cut a hole into an answer; the call ends as if its link was lost.
    """

    def __init__(self, request_id: str, peer: str, is_only_one: bool) -> None:
        self.request_id = request_id
        self.peer = peer
        self.is_sole_sender = is_only_one
        self._events: queue.Queue[CallEvent] = queue.Queue(_MAX_QUEUED_EVENTS)
        self._overflowed = threading.Event()

    def put(self, event: CallEvent) -> None:
        """Hand an event to the waiting task."""
        try:
            self._events.put_nowait(event)
        except queue.Full:
            self._overflowed.set()

    def wait(self, deadline: clock.Deadline) -> CallEvent | None:
        """Return the next event, or nothing at the deadline."""
        if self._overflowed.is_set():
            return LinkLost()
        try:
            return self._events.get(timeout=max(0.001, deadline.remaining))
        except queue.Empty:
            return None


def await_answer(call: Call, deadline: clock.Deadline) -> messages.Answer | None:
    """Return the answer, or nothing when the link broke or time is up."""
    while not deadline.is_past:
        event = call.wait(deadline.earlier(_POLL_SECONDS))
        if isinstance(event, messages.Answer):
            return event
        if isinstance(event, LinkLost):
            return None
    return None


def create_request_id() -> str:
    """Return the name of one message exchange."""
    return identifiers.create_nonce()
