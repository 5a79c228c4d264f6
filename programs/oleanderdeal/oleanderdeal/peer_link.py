"""An entry's link to one sidecar, which reconnects whenever it breaks."""

import dataclasses
import math
import random
import threading

import expression

from oleander_admission import work as admission_work
from oleander_base import clock, log, tasks
from oleander_platform import hostlist
from oleander_routing import peers as routing_peers
from oleander_routing import router
from oleander_wire import link, messages
from oleanderdeal import calls, configuration_sync

_DIAL_TIMEOUT_SECONDS = 1.0
_HELLO_TIMEOUT_SECONDS = 2.0
_MAX_MISSED_HEARTBEATS = 4
_FINAL_READ_SECONDS = 0.1
_MIN_REDIAL_SECONDS = 0.1
_MAX_REDIAL_SECONDS = 3.0

_NOT_RUN_ANSWER = messages.Answer(
    "", messages.Outcome.NOT_RUN, 0, admission_work.LEAVING, 0, b"", 0
)
"""The outcome of a request that a sidecar left unanswered when it sent its goodbye."""


@dataclasses.dataclass(slots=True, frozen=True)
class NotSent:
    """The message was not sent, so the request did not run."""

    reason: str


class PeerLink:
    """A link to one sidecar; redials with backoff until stopped. Thread-safe."""

    def __init__(
        self,
        host: hostlist.Host,
        hello: messages.Hello,
        heartbeat_ms: int,
        peer_router: router.Router | None,
        synchronizer: configuration_sync.ConfigurationSynchronizer,
        group: tasks.TaskGroup,
    ) -> None:
        """Create a link; without a router it only carries requests that name this sidecar."""
        self._host = host
        self._hello = hello
        self._heartbeat_ms = heartbeat_ms
        self._router = peer_router
        self._synchronizer = synchronizer
        self._group = group
        self._lock = threading.Lock()
        self._opened = threading.Condition(self._lock)
        self._link: link.Link | None = None
        self._incarnation = ""
        self._ticket_epoch = 0
        self._shares_samples = False
        self._calls: dict[str, calls.Call] = {}
        self._stopped = threading.Event()
        self._failures = 0
        self._is_connection_refused = False
        self._is_retired = False
        self._backend = ""
        self._restarted_at = -math.inf

    @property
    def name(self) -> str:
        """The host's name."""
        return self._host.name

    @property
    def host(self) -> hostlist.Host:
        """The host at the other end."""
        return self._host

    @property
    def incarnation(self) -> str:
        """The incarnation in the sidecar's last hello; empty before the first hello."""
        return self._incarnation

    @property
    def ticket_epoch(self) -> int:
        """The ticket epoch in the sidecar's last heartbeat."""
        return self._ticket_epoch

    @property
    def shares_samples(self) -> bool:
        """Whether the sidecar's last heartbeat says that it answers `TakeStep`."""
        return self._shares_samples

    @property
    def is_open(self) -> bool:
        """Whether the link is connected, so that requests can be sent."""
        return self._link is not None

    @property
    def backend(self) -> str:
        """The backend in the sidecar's last heartbeat; empty before the first heartbeat."""
        return self._backend

    @property
    def restarted_at(self) -> float:
        """When a restart of the sidecar was last noticed; minus infinity if never."""
        return self._restarted_at

    @property
    def is_connection_refused(self) -> bool:
        """Whether the last dial was refused, as that incarnation of the sidecar has ended."""
        return self._is_connection_refused

    def keep_open(self) -> None:
        """Dial, receive until the link breaks, and redial after a backoff until stopped."""
        while not self._is_ending:
            opened = self._dial()
            if opened is not None:
                said_goodbye = self._receive_all(opened)
                self._handle_disconnect(opened, said_goodbye)
            self._group.pause(self._compute_pause())

    def stop(self) -> None:
        """Close the link and end keep_open()."""
        self._stopped.set()
        current = self._link
        if current is not None:
            current.close(1001, "no longer wanted")

    def wait_open(self, deadline: clock.Deadline) -> bool:
        """Wait for the link to open; return whether it has."""
        with self._opened:
            return self._opened.wait_for(lambda: self.is_open, deadline.remaining)

    @property
    def has_calls(self) -> bool:
        """Whether any call on the link is still in progress."""
        return bool(self._calls)

    def retire(self) -> None:
        """Remove the link from routing; calls on it continue."""
        with self._lock:
            self._is_retired = True
            if self._router is not None:
                self._router.remove(self.name)

    def restore(self) -> None:
        """Return the link to routing with the next heartbeat."""
        self._is_retired = False

    def open_call(self, request_id: str, is_only_one: bool = False) -> calls.Call:
        """
        Register a call before its request is sent, so that no event is missed.

        `is_only_one` says that no other entry sends this request. Only then does a goodbye from
        the sidecar prove that the request did not run: a request with a ticket may have run there
        before, sent by another entry.
        """
        call = calls.Call(request_id, self.name, is_only_one)
        with self._lock:
            self._calls[request_id] = call
        return call

    def close_call(self, call: calls.Call) -> None:
        """Unregister a call; later events for it are ignored."""
        with self._lock:
            self._calls.pop(call.request_id, None)

    def send(self, message: messages.Message) -> expression.Result[None, NotSent]:
        """Send a message; an error means that it was not sent, success that it may arrive."""
        current = self._link
        if current is None:
            return expression.Error(NotSent("no link"))
        current.send(message)
        return expression.Ok(None)

    @property
    def _is_ending(self) -> bool:
        return self._stopped.is_set() or self._group.is_stopping

    def _compute_pause(self) -> float:
        ceiling = min(_MAX_REDIAL_SECONDS, _MIN_REDIAL_SECONDS * 2 ** min(self._failures, 8))
        return random.uniform(_MIN_REDIAL_SECONDS, max(_MIN_REDIAL_SECONDS, ceiling))

    def _dial(self) -> link.Link | None:
        self._failures += 1
        dialled = link.dial_link(self._host.address, clock.start_deadline(_DIAL_TIMEOUT_SECONDS))
        self._is_connection_refused = dialled.is_error() and dialled.error.is_refused
        if dialled.is_error():
            log.warn_bounded(
                f"dial-{self.name}", f"can't reach {self.name}: {dialled.error.detail}"
            )
            return None
        opened = dialled.ok
        if self._exchange_hellos(opened):
            self._failures = 0
            return opened
        opened.close(1002, "no hello")
        return None

    def _exchange_hellos(self, opened: link.Link) -> bool:
        if opened.send(self._hello).is_error():
            return False
        received = opened.receive(clock.start_deadline(_HELLO_TIMEOUT_SECONDS))
        if received.is_error() or not isinstance(received.ok, messages.Hello):
            return False
        with self._lock:
            if self._incarnation not in {"", received.ok.incarnation}:
                self._restarted_at = clock.read_now()
            self._incarnation = received.ok.incarnation
            self._link = opened
            self._opened.notify_all()
        return True

    def _receive_all(self, opened: link.Link) -> bool:
        """
        Receive until the link breaks or is silent too long; return whether a goodbye arrived.

        A paused sidecar keeps its connection open. Without a bound on silence its calls would
        wait for their whole deadline instead of being sent elsewhere. If this entry itself was
        paused, the bound has passed although messages have arrived, so buffered ones are read
        once more before the link is given up.
        """
        silence_ms = self._heartbeat_ms * _MAX_MISSED_HEARTBEATS
        while not self._is_ending:
            received = opened.receive(clock.start_deadline_ms(silence_ms))
            if received.is_ok() and received.ok is None:
                received = opened.receive(clock.start_deadline(_FINAL_READ_SECONDS))
            if received.is_error():
                return False
            if received.ok is None:
                log.warn_bounded(
                    f"silent-{self.name}", f"{self.name} sent no messages, reconnecting"
                )
                return False
            if isinstance(received.ok, messages.Goodbye):
                return True
            self._handle(opened, received.ok)
        return False

    def _handle(self, opened: link.Link, message: messages.Message) -> None:
        match message:
            case messages.Tokens() | messages.Answer():
                with self._lock:
                    call = self._calls.get(message.request_id)
                if call is not None:
                    call.put(message)
            case messages.Heartbeat():
                self._ticket_epoch = message.ticket_epoch
                self._shares_samples = bool(message.shares_samples)
                self._update_router(message)
                self._synchronizer.synchronize(message.configuration_offset, opened)
            case messages.RecordsOffer() | messages.Records():
                self._synchronizer.handle(message, opened)
            case _:
                log.warn_bounded("odd-message", f"ignored a {type(message).__name__}")

    def _update_router(self, heartbeat: messages.Heartbeat) -> None:
        self._backend = heartbeat.backend
        if self._router is None:
            return
        report = routing_peers.PeerReport(
            failure_domain=self._host.failure_domain,
            backend=heartbeat.backend,
            incarnation=self._incarnation,
            queued=heartbeat.queued,
            running=heartbeat.running,
            slots=heartbeat.slots,
            wait_ms=heartbeat.wait_ms,
            version=heartbeat.version,
            in_rotation=heartbeat.in_rotation,
            leaving=heartbeat.leaving,
        )
        with self._lock:
            if not self._is_retired:
                self._router.update(self.name, report)

    def _handle_disconnect(self, opened: link.Link, said_goodbye: bool) -> None:
        """
        Remove the link from routing, end its calls and abort the connection.

        A closing handshake would wait a second for the peer, which never answers if it is paused,
        and the calls and the next dial would be delayed by that second.
        """
        with self._lock:
            if self._router is not None and not self._is_retired:
                self._router.remove(self.name)
            self._link = None
            open_calls = list(self._calls.values())
        for call in open_calls:
            call.put(_NOT_RUN_ANSWER if said_goodbye and call.is_sole_sender else calls.LinkLost())
        opened.abort()
