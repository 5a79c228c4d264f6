"""An entry's links to sidecars: one task each, dialled again whenever it breaks."""

import collections.abc
import dataclasses
import math
import queue
import random
import threading

import expression

from oleander_admission import work as admission_work
from oleander_base import clock, identifiers, log, tasks
from oleander_platform import hostlist
from oleander_routing import peers as routing_peers
from oleander_routing import router
from oleander_wire import link, messages
from oleanderdeal import peer_records

_DIAL_SECONDS = 1.0
_HELLO_SECONDS = 2.0
_MISSED_HEARTBEATS = 4
_LAST_READ_SECONDS = 0.1
_REDIAL_SECONDS = 0.1
_MOST_REDIAL_SECONDS = 3.0
_EVENTS_PER_CALL = 4096
_SLICE_SECONDS = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class LinkLost:
    """The link broke while a call was open; the request may have run or still be running."""


_REFUSED = messages.Answer("", messages.Outcome.NOT_RUN, 0, admission_work.LEAVING, 0, b"", 0)
"""What a request comes to that a sidecar left unanswered when it said goodbye."""


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
        self.is_only_one = is_only_one
        self._events: queue.Queue[CallEvent] = queue.Queue(_EVENTS_PER_CALL)
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


@dataclasses.dataclass(slots=True, frozen=True)
class NotSent:
    """Nothing was sent, so nothing ran."""

    reason: str


class PeerLink:
    """The link to one sidecar; keeps calling until told to stop."""

    def __init__(
        self,
        host: hostlist.Host,
        hello: messages.Hello,
        heartbeat_ms: int,
        routes: router.Router | None,
        records: peer_records.PeerRecords,
        group: tasks.TaskGroup,
    ) -> None:
        """Create a link; without routes it serves only requests that name this sidecar."""
        self._host = host
        self._hello = hello
        self._heartbeat_ms = heartbeat_ms
        self._routes = routes
        self._records = records
        self._group = group
        self._lock = threading.Lock()
        self._opened = threading.Condition(self._lock)
        self._link: link.Link | None = None
        self._incarnation = ""
        self._peer_offset = 0
        self._ticket_epoch = 0
        self._calls: dict[str, Call] = {}
        self._stopped = threading.Event()
        self._failures = 0
        self._is_refused = False
        self._is_retired = False
        self._backend = ""
        self._restarted_at = -math.inf

    @property
    def name(self) -> str:
        """The host's name."""
        return self._host.name

    @property
    def host(self) -> hostlist.Host:
        """The host that is linked to."""
        return self._host

    @property
    def incarnation(self) -> str:
        """The run of the sidecar that answered the last hello; empty before the first."""
        return self._incarnation

    @property
    def ticket_epoch(self) -> int:
        """The sidecar's epoch of tickets, as its last heartbeat told it."""
        return self._ticket_epoch

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent."""
        return self._link is not None

    @property
    def backend(self) -> str:
        """The backend that the sidecar last said it belongs to; empty before it said so."""
        return self._backend

    @property
    def restarted_at(self) -> float:
        """When it was last noticed that the sidecar had been started anew."""
        return self._restarted_at

    @property
    def is_refused(self) -> bool:
        """Whether nobody listened at the address at the last try: that run of it has ended."""
        return self._is_refused

    def keep_open(self) -> None:
        """Dial, receive until the link breaks, and dial again."""
        while not self._is_ending:
            opened = self._dial()
            if opened is not None:
                said_goodbye = self._receive_all(opened)
                self._lose(opened, said_goodbye)
            self._group.pause(self._compute_pause())

    def stop(self) -> None:
        """End the task and the link."""
        self._stopped.set()
        current = self._link
        if current is not None:
            current.close(1001, "no longer wanted")

    def await_open(self, deadline: clock.Deadline) -> bool:
        """Wait for the link to open; return whether it has."""
        with self._opened:
            return self._opened.wait_for(lambda: self.is_open, deadline.remaining)

    @property
    def has_calls(self) -> bool:
        """Whether any request on the link has not ended."""
        return bool(self._calls)

    def retire(self) -> None:
        """Take the link out of routing; the calls on it go on."""
        with self._lock:
            self._is_retired = True
            if self._routes is not None:
                self._routes.remove(self.name)

    def restore(self) -> None:
        """Take the link back into routing."""
        self._is_retired = False

    def open_call(self, request_id: str, is_only_one: bool = False) -> Call:
        """
        Register a call before its request is sent, so that no event is missed.

        `is_only_one` tells that nobody else sends this request. Only then does a sidecar's goodbye
        prove that it did not run: a ticket may have run there at another entry's request before.
        """
        call = Call(request_id, self.name, is_only_one)
        with self._lock:
            self._calls[request_id] = call
        return call

    def close_call(self, call: Call) -> None:
        """Forget a call; later events for it are ignored."""
        with self._lock:
            self._calls.pop(call.request_id, None)

    def offer_records(self) -> None:
        """
        Send the sidecar what changed since its last heartbeat or the last records sent to it.

        Without noting what was sent, each of several quick changes would send all those since the
        last heartbeat again. Should the records be lost, the next heartbeat shows it.
        """
        current = self._link
        if current is not None:
            self._peer_offset = self._records.compare(self._peer_offset, current)

    def send(self, message: messages.Message) -> expression.Result[None, NotSent]:
        """Send a message; an error means it never left, success that it may have arrived."""
        current = self._link
        if current is None:
            return expression.Error(NotSent("no link"))
        current.send(message)
        return expression.Ok(None)

    @property
    def _is_ending(self) -> bool:
        return self._stopped.is_set() or self._group.is_stopping

    def _compute_pause(self) -> float:
        ceiling = min(_MOST_REDIAL_SECONDS, _REDIAL_SECONDS * 2 ** min(self._failures, 8))
        return random.uniform(_REDIAL_SECONDS, max(_REDIAL_SECONDS, ceiling))

    def _dial(self) -> link.Link | None:
        self._failures += 1
        dialled = link.dial_link(self._host.address, clock.start_deadline(_DIAL_SECONDS))
        self._is_refused = dialled.is_error() and dialled.error.is_refused
        if dialled.is_error():
            log.warn_bounded(
                f"dial-{self.name}", f"can't reach {self.name}: {dialled.error.detail}"
            )
            return None
        opened = dialled.ok
        if self._greet(opened):
            self._failures = 0
            return opened
        opened.close(1002, "no hello")
        return None

    def _greet(self, opened: link.Link) -> bool:
        if opened.send(self._hello).is_error():
            return False
        received = opened.receive(clock.start_deadline(_HELLO_SECONDS))
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
        Receive until the link breaks or falls silent; return whether the sidecar said goodbye.

        A paused sidecar keeps its connection open; without the bound on silence its calls would
        wait for their whole deadline instead of being taken elsewhere. If this entry was the one
        that was paused, the time is up although much has come; so what is there is read first.
        """
        silence_ms = self._heartbeat_ms * _MISSED_HEARTBEATS
        while not self._is_ending:
            received = opened.receive(clock.start_deadline_ms(silence_ms))
            if received.is_ok() and received.ok is None:
                received = opened.receive(clock.start_deadline(_LAST_READ_SECONDS))
            if received.is_error():
                return False
            if received.ok is None:
                log.warn_bounded(
                    f"silent-{self.name}", f"{self.name} sends nothing; dialling anew"
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
                self._peer_offset = message.configuration_offset
                self._ticket_epoch = message.ticket_epoch
                self._report(message)
                self._records.compare(message.configuration_offset, opened)
            case messages.RecordsOffer() | messages.Records():
                self._records.handle(message, opened)
            case _:
                log.warn_bounded("odd-message", f"ignored a {type(message).__name__}")

    def _report(self, beat: messages.Heartbeat) -> None:
        self._backend = beat.backend
        if self._routes is None:
            return
        report = routing_peers.PeerReport(
            failure_domain=self._host.failure_domain,
            backend=beat.backend,
            incarnation=self._incarnation,
            queued=beat.queued,
            running=beat.running,
            slots=beat.slots,
            wait_ms=beat.wait_ms,
            version=beat.version,
            in_rotation=beat.in_rotation,
            leaving=beat.leaving,
        )
        with self._lock:
            if not self._is_retired:
                self._routes.update(self.name, report)

    def _lose(self, opened: link.Link, said_goodbye: bool) -> None:
        """
        Take the link out of use and tell its calls.

        An orderly close would wait for the peer's own, which never comes from one that is paused;
        its calls, and the next dial, would wait for that second too.
        """
        with self._lock:
            if self._routes is not None and not self._is_retired:
                self._routes.remove(self.name)
            self._link = None
            calls = list(self._calls.values())
        for call in calls:
            call.put(_REFUSED if said_goodbye and call.is_only_one else LinkLost())
        opened.abort()


class PeerLinks:
    """
    All links of an entry: those that routing uses, and single ones to other sidecars.

    A claim may name a sidecar outside this entry's subset. Links to such are bounded; at the
    bound the one made longest ago is closed, and calls on it end as if it was lost.
    """

    def __init__(
        self,
        create_link: collections.abc.Callable[[hostlist.Host, bool], PeerLink],
        group: tasks.TaskGroup,
        most_extra: int,
    ) -> None:
        self._create_link = create_link
        self._group = group
        self._most_extra = most_extra
        self._lock = threading.Lock()
        self._links: dict[str, PeerLink] = {}
        self._extra: dict[str, PeerLink] = {}
        self._retired: dict[str, PeerLink] = {}
        self._covers_all = False
        self._dropped_at = -math.inf

    @property
    def lost_at(self) -> float:
        """When a sidecar, with all it remembered, was last found to be gone."""
        with self._lock:
            restarts = [item.restarted_at for item in self._links.values()]
        return max([self._dropped_at, *restarts])

    def find(self, name: str) -> PeerLink | None:
        """Return the routed link to a sidecar."""
        with self._lock:
            return self._links.get(name)

    def find_or_dial(self, name: str, address: str) -> PeerLink:
        """Return the link to the sidecar at an address, which need not be open yet."""
        with self._lock:
            found = self._links.get(name)
            if found is None or found.host.address != address:
                found = self._retired.get(address) or self._extra.get(address)
            return found or self._add_extra(name, address)

    def list_routed(self, backend: str) -> list[PeerLink]:
        """Return the links to a backend's sidecars, and to those whose backend is not known."""
        with self._lock:
            return [item for item in self._links.values() if item.backend in {"", backend}]

    def list_links(self) -> list[PeerLink]:
        """Return every link."""
        with self._lock:
            return [*self._links.values(), *self._retired.values(), *self._extra.values()]

    @property
    def covers_all(self) -> bool:
        """Whether every host of the list is linked to, and not only a subset."""
        return self._covers_all

    def set_hosts(self, hosts: collections.abc.Iterable[hostlist.Host], covers_all: bool) -> None:
        """
        Route to these hosts; a host whose address changed is linked to anew.

        The list lags and may be wrong, and the subset changes as hosts come and go, so a host that
        is not wanted any more gets no new work, but its link stays open until the calls on it have
        ended. There are no more of these links than calls.
        """
        wanted = {host.name: host for host in hosts}
        self._covers_all = covers_all
        with self._lock:
            self._retire_unwanted(wanted)
            added = [host for name, host in wanted.items() if name not in self._links]
            for host in added:
                self._links[host.name] = self._restore(host) or self._start(host, is_routed=True)
            ended = self._pop_ended()
        for item in ended:
            item.stop()

    def stop(self) -> None:
        """End every link."""
        for item in self.list_links():
            item.stop()

    def _retire_unwanted(self, wanted: dict[str, hostlist.Host]) -> None:
        unwanted = [
            item
            for name, item in self._links.items()
            if name not in wanted or wanted[name].address != item.host.address
        ]
        for item in unwanted:
            self._dropped_at = clock.read_now()
            item.retire()
            self._retired[item.host.address] = self._links.pop(item.name)

    def _restore(self, host: hostlist.Host) -> PeerLink | None:
        """Return the retired link to a host that is wanted again, if there is one."""
        found = self._retired.get(host.address)
        if found is None or found.host != host:
            return None
        found.restore()
        return self._retired.pop(host.address)

    def _pop_ended(self) -> list[PeerLink]:
        ended = [item for item in self._retired.values() if not item.has_calls]
        for item in ended:
            del self._retired[item.host.address]
        return ended

    def _add_extra(self, name: str, address: str) -> PeerLink:
        while len(self._extra) >= self._most_extra:
            self._extra.pop(next(iter(self._extra))).stop()
        host = hostlist.Host(name, address, "", hostlist.HostState.LIVE)
        self._extra[address] = self._start(host, is_routed=False)
        return self._extra[address]

    def _start(self, host: hostlist.Host, is_routed: bool) -> PeerLink:
        created = self._create_link(host, is_routed)
        self._group.keep(created.keep_open)
        return created


def await_answer(call: Call, deadline: clock.Deadline) -> messages.Answer | None:
    """Return the answer, or nothing when the link broke or time is up."""
    while not deadline.is_past:
        event = call.wait(deadline.earlier(_SLICE_SECONDS))
        if isinstance(event, messages.Answer):
            return event
        if isinstance(event, LinkLost):
            return None
    return None


def create_request_id() -> str:
    """Return the name of one message exchange."""
    return identifiers.create_nonce()
