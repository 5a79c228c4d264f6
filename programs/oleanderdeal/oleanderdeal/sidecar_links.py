"""Serves the links from entries at a sidecar; one task per link receives and sends heartbeats."""

import collections.abc
import hmac
import queue
import threading
import uuid

from oleander_base import clock, invariants, log
from oleander_samples import number_sets
from oleander_wire import link, messages
from oleanderdeal import (
    configuration_sync,
    executor,
    key_ledger,
    lost_answers,
    pending_runs,
    shared_samples,
)

_HELLO_TIMEOUT_SECONDS = 5.0
_MAX_RUNS_PER_LINK = 1024
CLOSE_POLICY_VIOLATION = 1008

HeartbeatReader = collections.abc.Callable[[], messages.Heartbeat]


class SidecarLinks:
    """Receives requests from entries and sends answers and heartbeats back."""

    def __init__(
        self,
        hello: messages.Hello,
        heartbeat_ms: int,
        read_heartbeat: HeartbeatReader,
        run_executor: executor.Executor,
        key_ledger: key_ledger.KeyLedger,
        synchronizer: configuration_sync.ConfigurationSynchronizer,
    ) -> None:
        self._hello = hello
        self._heartbeat_ms = heartbeat_ms
        self._read_heartbeat = read_heartbeat
        self._executor = run_executor
        self._key_ledger = key_ledger
        self._synchronizer = synchronizer
        self._lock = threading.Lock()
        self._open_links: set[link.Link] = set()
        self._lost_answers = lost_answers.LostAnswers()
        self._samples = shared_samples.SharedSamples(run_executor)
        self._stopping = threading.Event()

    @property
    def is_linked(self) -> bool:
        """Whether any entry is connected; entries also send configuration changes."""
        return bool(self._open_links)

    @property
    def has_awaited_answers(self) -> bool:
        """Whether an entry whose link broke may still reconnect to ask for an answer."""
        return self._lost_answers.is_any_awaited(clock.read_now())

    def serve(self, opened: link.Link) -> None:
        """Serve one link until it closes."""
        entry = self._exchange_hellos(opened)
        if entry is None:
            opened.close(CLOSE_POLICY_VIOLATION, "hello refused")
            return
        with self._lock:
            self._open_links.add(opened)
        served = _LinkRequests(
            opened, entry, self._executor, self._samples, self._key_ledger, self._lost_answers
        )
        try:
            self._receive_all(opened, served)
        finally:
            with self._lock:
                self._open_links.discard(opened)
            served.cancel_all()

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to every entry without waiting for its next interval."""
        with self._lock:
            links = list(self._open_links)
        for item in links:
            item.send(self._read_heartbeat())

    def say_goodbye(self) -> None:
        """
        Tell every entry that requests without an answer did not run here.

        Call it when nothing runs and nothing new can start. A request may still be on its way,
        for instance from an entry that was paused. Without the goodbye the entry could not tell
        whether it ran, and a request that must not be repeated would end with outcome unknown.
        """
        with self._lock:
            links = list(self._open_links)
        for item in links:
            item.send(messages.Goodbye())

    def stop(self) -> None:
        """Abort every link; messages that were already sent still arrive."""
        self._stopping.set()
        with self._lock:
            links = list(self._open_links)
        for item in links:
            item.abort()

    def _exchange_hellos(self, opened: link.Link) -> str | None:
        """Return the entry's name, or None if it is refused or the link broke."""
        received = opened.receive(clock.start_deadline(_HELLO_TIMEOUT_SECONDS))
        if received.is_error() or not isinstance(received.ok, messages.Hello):
            return None
        hello = received.ok
        if hello.protocol != messages.PROTOCOL:
            log.warn_bounded("other-protocol", f"{hello.name} speaks protocol {hello.protocol}")
            return None
        if not hmac.compare_digest(hello.token.encode(), self._hello.token.encode()):
            log.warn_bounded("wrong-token", f"{hello.name} has another process token")
            return None
        if opened.send(self._hello).is_error() or opened.send(self._read_heartbeat()).is_error():
            return None
        return hello.name

    def _receive_all(self, opened: link.Link, served: "_LinkRequests") -> None:
        next_heartbeat = clock.start_deadline_ms(self._heartbeat_ms)
        while not self._stopping.is_set():
            received = opened.receive(next_heartbeat)
            if received.is_error():
                return
            if received.ok is not None:
                self._handle(opened, served, received.ok)
            served.end_moved()
            if next_heartbeat.is_past:
                opened.send(self._read_heartbeat())
                next_heartbeat = clock.start_deadline_ms(self._heartbeat_ms)

    def _handle(
        self, opened: link.Link, served: "_LinkRequests", message: messages.Message
    ) -> None:
        match message:
            case messages.Run():
                served.run(message)
            case messages.Join():
                served.join(message)
            case messages.Find():
                served.find(message)
            case messages.TakeStep():
                served.take_step(message)
            case messages.Cancel():
                served.cancel(message.request_id)
            case messages.RecordsOffer() | messages.Records():
                self._synchronizer.handle(message, opened)
            case _:
                log.warn_bounded("odd-message", f"ignored a {type(message).__name__}")


class _LinkRequests:
    """The requests received over one link."""

    def __init__(
        self,
        opened: link.Link,
        entry: str,
        run_executor: executor.Executor,
        samples: shared_samples.SharedSamples,
        key_ledger: key_ledger.KeyLedger,
        undelivered: lost_answers.LostAnswers,
    ) -> None:
        self._link = opened
        self._entry = entry
        self._executor = run_executor
        self._samples = samples
        self._key_ledger = key_ledger
        self._lost_answers = undelivered
        self._lock = threading.Lock()
        self._cancel_functions: dict[str, collections.abc.Callable[[], None]] = {}
        self._moved: queue.SimpleQueue[messages.Run] = queue.SimpleQueue()

    def run(self, run: messages.Run) -> None:
        """Submit a request to the executor, or refuse it immediately."""
        sample = _find_shared(run)
        with self._lock:
            is_full = len(self._cancel_functions) >= _MAX_RUNS_PER_LINK
        if is_full:
            self._refuse_full(run)
        elif sample is not None:
            self._run_sample(run, sample)
        elif run.repeatable:
            self._submit(run, lambda answer: self._end_repeatable(run, answer))
        else:
            self._run_once(run)

    def join(self, join: messages.Join) -> None:
        """Answer with a key's outcome, immediately or when its request ends."""
        self._lost_answers.forget(join.customer, join.key)
        self._key_ledger.join(join, lambda answer: self._answer_once(join, answer))

    def find(self, find: messages.Find) -> None:
        """Answer immediately with what is known of a key."""
        self._answer(find.request_id, self._key_ledger.find(find))

    def cancel(self, request_id: str) -> None:
        """Cancel a request whose answer is no longer wanted."""
        with self._lock:
            cancel = self._cancel_functions.get(request_id)
        if cancel is not None:
            cancel()

    def take_step(self, take: messages.TakeStep) -> None:
        """Make this link's entry the collector of a step; answer with the samples here."""
        found = self._samples.take_step(take, self._entry)
        parts = (number_sets.format_numbers(part) for part in (found.numbers, found.finished))
        body = "/".join(parts).encode()
        self._answer(
            take.request_id, messages.Answer("", messages.Outcome.DONE, 200, "", 0, body, 0)
        )

    def end_moved(self) -> None:
        """
        End the requests whose samples another entry has taken over.

        The link's own task calls this, because a send to a suspended entry may block, which must
        not delay the entry that took over.
        """
        while not self._moved.empty():
            self._end_repeatable(self._moved.get(), shared_samples.build_moved_answer())

    def cancel_all(self) -> None:
        """Cancel what can be cancelled of a closed link's requests; answers can't be sent."""
        with self._lock:
            cancel_functions = list(self._cancel_functions.values())
        for cancel in cancel_functions:
            cancel()

    def _refuse_full(self, run: messages.Run) -> None:
        """
        Refuse a request; if it must not be repeated, also seal its key.

        The same ticket may arrive over another link that has capacity. Without the seal the
        request would start there after the refused entry has sent it to another sidecar.
        """
        refusal = _refuse("too-many-requests-on-link")
        if run.repeatable:
            self._answer(run.request_id, refusal)
        elif self._key_ledger.start(run, lambda answer: self._answer_once(run, answer)):
            self._key_ledger.end(run, refusal)

    def _run_sample(self, run: messages.Run, sample: messages.SampleId) -> None:
        subscriber = shared_samples.Subscriber(
            run=run,
            sample=sample,
            entry=self._entry,
            deadline=clock.start_deadline_ms(run.budget_ms),
            send=self._send,
            answer=lambda answer: self._end_repeatable(run, answer),
            move=lambda: self._moved.put(run),
            is_abandoned=lambda: self._link.is_closed_by_peer,
        )
        with self._lock:
            self._cancel_functions[run.request_id] = lambda: self._samples.cancel(subscriber)
        self._samples.run(subscriber)

    def _run_once(self, run: messages.Run) -> None:
        if not self._key_ledger.start(run, lambda answer: self._answer_once(run, answer)):
            return
        self._submit(run, lambda answer: self._end_once(run, answer))

    def _submit(
        self, run: messages.Run, end: collections.abc.Callable[[messages.Answer], None]
    ) -> None:
        work_id = uuid.uuid4().hex
        with self._lock:
            self._cancel_functions[run.request_id] = lambda: self._executor.cancel(work_id)
        pending = pending_runs.PendingRun(
            work_id=work_id,
            run=run,
            deadline=clock.start_deadline_ms(run.budget_ms),
            send=self._send,
            answer=end,
            cancelled=threading.Event(),
            is_abandoned=lambda: self._link.is_closed_by_peer,
        )
        self._executor.submit(pending)

    def _end_repeatable(self, run: messages.Run, answer: messages.Answer) -> None:
        self._remove_work(run)
        self._answer(run.request_id, answer)

    def _end_once(self, run: messages.Run, answer: messages.Answer) -> None:
        self._remove_work(run)
        self._key_ledger.end(run, answer)

    def _remove_work(self, run: messages.Run) -> None:
        with self._lock:
            known = self._cancel_functions.pop(run.request_id, None)
        invariants.require(known is not None, "answer-once", f"{run.request_id} ended twice")

    def _send(self, message: messages.Message) -> None:
        self._link.send(message)

    def _answer_once(self, request: messages.Run | messages.Join, answer: messages.Answer) -> None:
        if not self._answer(request.request_id, answer):
            self._lost_answers.record(request.customer, request.key, clock.read_now())

    def _answer(self, request_id: str, answer: messages.Answer) -> bool:
        sent = self._link.send(
            messages.Answer(
                request_id,
                answer.outcome,
                answer.status,
                answer.reason,
                answer.retry_after_ms,
                answer.body,
                answer.service_ms,
            )
        )
        return bool(sent.is_ok())


def _find_shared(run: messages.Run) -> messages.SampleId | None:
    """Return the sample that a request generates from its start; None for other requests."""
    terms = run.generation
    return terms.sample if terms is not None and not terms.resumed_tokens else None


def _refuse(reason: str) -> messages.Answer:
    return messages.Answer("", messages.Outcome.NOT_RUN, 0, reason, 500, b"", 0)
