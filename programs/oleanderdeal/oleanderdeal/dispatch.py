"""Runs repeatable requests at sidecars, with retries within each customer's retry budget."""

import collections.abc
import dataclasses
import typing

from oleander_admission import work as admission_work
from oleander_base import clock, metrics
from oleander_contracts import contract
from oleander_routing import retries, router
from oleander_wire import messages
from oleanderdeal import budgets, calls, peer_link, peers

NO_CLAIM = -1
"""Claim offset in the message of a repeatable request, which needs no claim."""
_POLL_SECONDS = 0.1
"""Interval at which a waiting call checks whether its caller has gone."""
_MAX_ATTEMPTS = 4
"""Attempts for one job, including the first; refusals by sidecars that are leaving don't count."""
_CANCELLED = "cancelled"
_TOO_LATE = "too-late"
_NO_FAILURES = frozenset((_CANCELLED, messages.REASON_STEP_MOVED))
"""Reasons of answers that say nothing about the health of a sidecar."""


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """A repeatable request, of a caller or for a trainer's sample."""

    customer: str
    share_percent: int
    retry_percent: int
    operation: str
    backend: str
    priority: contract.Priority
    key: str
    """Idempotency key of the caller, which is passed on to the service; may be empty."""
    trace_id: str
    body: bytes
    generation: messages.GenerationTerms | None
    """`None` for a call of a plain service."""


@dataclasses.dataclass(slots=True, frozen=True)
class JobResult:
    """The answer of a job's last attempt, and its sidecar; `peer` is empty if none was chosen."""

    answer: messages.Answer
    peer: str


class JobObserver:
    """Receives a job's tokens as they are generated; reports when no one waits for the job."""

    def on_peer_chosen(self, name: str) -> None:
        """Receive the name of the sidecar that the next attempt is sent to."""

    def on_tokens(self, tokens: messages.Tokens) -> None:
        """Receive the next tokens."""

    def resume(self, terms: messages.GenerationTerms) -> messages.GenerationTerms:
        """Return the terms for resuming on another engine after the tokens received so far."""
        return terms

    def is_gone(self) -> bool:
        """Return whether no one waits for the job any longer."""
        return False


JobEvent = messages.Tokens | JobResult
_AttemptEvents = collections.abc.Generator[messages.Tokens, None, messages.Answer]


class Dispatcher:
    """Runs jobs: chooses a sidecar, waits for its answer, and retries within the budget."""

    def __init__(
        self, router_: router.Router, links: peers.PeerLinks, budgets: retries.RetryBudgets
    ) -> None:
        self._router = router_
        self._links = links
        self._budgets = budgets

    def run(self, job: Job, deadline: clock.Deadline, observer: JobObserver) -> JobResult:
        """Run a job and return its result; blocks until it ends or the deadline passes."""
        for event in self.stream(job, deadline, observer):
            if isinstance(event, JobResult):
                return event
        raise AssertionError("a job ended without an answer")

    def stream(
        self, job: Job, deadline: clock.Deadline, observer: JobObserver
    ) -> collections.abc.Iterator[JobEvent]:
        """
        Run a job, yielding its tokens as they arrive and finally its result.

        A refusal by a sidecar that is leaving counts neither as an attempt nor against the retry
        budget: it does not indicate overload, each sidecar sends it only once per job, and the
        requests that were queued there may exceed the budget.
        """
        budget = self._budgets.find_budget(job.customer, job.retry_percent)
        budget.record_first_attempt()
        excluded: frozenset[str] = frozenset()
        may_have_run = False
        attempt = 1
        while True:
            result = yield from self._stream_attempt(job, attempt, excluded, deadline, observer)
            may_have_run = may_have_run or result.answer.outcome is not messages.Outcome.NOT_RUN
            if not _may_retry(result, deadline, observer):
                break
            if not _was_refused_by_leaving(result):
                attempt += 1
                if attempt > _MAX_ATTEMPTS or not budget.try_spend():
                    break
            metrics.count(metrics.RETRIES)
            excluded |= {result.peer}
        yield _apply_earlier_attempts(result, may_have_run)

    def run_once(
        self,
        job: Job,
        deadline: clock.Deadline,
        observer: JobObserver,
        avoided: frozenset[str],
        peer: str = "",
    ) -> JobResult:
        """
        Return the result of a single attempt, for callers that do their own retries.

        A sidecar in `avoided` is still chosen if there are no others. `peer` names the sidecar
        that already has the job; empty to choose one.
        """
        if peer:
            return self._run_at(job, peer, deadline, observer)
        result = self._run_attempt(job, deadline, observer, avoided)
        if avoided and not result.peer:
            return self._run_attempt(job, deadline, observer, frozenset())
        return result

    def _run_attempt(
        self, job: Job, deadline: clock.Deadline, observer: JobObserver, avoided: frozenset[str]
    ) -> JobResult:
        return _drain_events(self._stream_attempt(job, 1, avoided, deadline, observer))

    def _run_at(
        self, job: Job, peer: str, deadline: clock.Deadline, observer: JobObserver
    ) -> JobResult:
        return _drain_events(self._stream_at(job, peer, 1, deadline, observer))

    def _stream_attempt(
        self,
        job: Job,
        attempt: int,
        excluded: frozenset[str],
        deadline: clock.Deadline,
        observer: JobObserver,
    ) -> collections.abc.Generator[messages.Tokens, None, JobResult]:
        chosen = self._router.choose(_build_route_request(job, excluded, deadline))
        if chosen.is_error():
            return JobResult(_build_not_run(chosen.error.reason, chosen.error.retry_after_ms), "")
        return (yield from self._stream_at(job, chosen.ok, attempt, deadline, observer))

    def _stream_at(
        self,
        job: Job,
        peer: str,
        attempt: int,
        deadline: clock.Deadline,
        observer: JobObserver,
    ) -> collections.abc.Generator[messages.Tokens, None, JobResult]:
        link = self._links.find(peer)
        if link is None:
            return JobResult(_build_not_run("link-lost", 200), peer)
        started_at = clock.read_now()
        outcome = router.RouteOutcome.OK
        self._router.record_started(peer)
        observer.on_peer_chosen(peer)
        try:
            answer = yield from self._call(link, job, attempt, deadline, observer)
            outcome = _classify_outcome(answer, observer)
        finally:
            service_ms = (clock.read_now() - started_at) * 1000
            self._router.record_finished(peer, outcome, service_ms)
        return JobResult(answer, peer)

    def _call(
        self,
        link: peer_link.PeerLink,
        job: Job,
        attempt: int,
        deadline: clock.Deadline,
        observer: JobObserver,
    ) -> _AttemptEvents:
        call = link.open_call(calls.create_request_id(), is_only_one=True)
        is_finished = False
        try:
            run = _build_run(call.request_id, link.incarnation, job, attempt, deadline, observer)
            if link.send(run).is_error():
                is_finished = True
                return _build_not_run("link-lost", 200)
            answer = yield from _stream_call(call, deadline, observer)
            is_finished = answer is not None
            return answer or _build_unfinished(deadline)
        finally:
            link.close_call(call)
            if not is_finished:
                link.send(messages.Cancel(call.request_id))


def _drain_events(
    events: collections.abc.Generator[messages.Tokens, None, JobResult],
) -> JobResult:
    """Pass all events of an attempt to its observer, and return its result."""
    while True:
        try:
            next(events)
        except StopIteration as stop:
            return typing.cast(JobResult, stop.value)


def _stream_call(
    call: calls.Call, deadline: clock.Deadline, observer: JobObserver
) -> collections.abc.Generator[messages.Tokens, None, messages.Answer | None]:
    """Yield tokens, then return the answer; `None` at the deadline or if the caller has gone."""
    while not deadline.is_past and not observer.is_gone():
        event = call.wait(deadline.cap(_POLL_SECONDS))
        match event:
            case messages.Tokens():
                observer.on_tokens(event)
                yield event
            case messages.Answer():
                return event
            case calls.LinkLost():
                return _build_unknown("link-lost")
    return None


def _build_unfinished(deadline: clock.Deadline) -> messages.Answer:
    """Return the answer for a call that ended at its deadline or because its caller has gone."""
    return _build_unknown(_TOO_LATE if deadline.is_past else _CANCELLED)


def _may_retry(result: JobResult, deadline: clock.Deadline, observer: JobObserver) -> bool:
    if result.answer.outcome is messages.Outcome.DONE or not result.peer:
        return False
    return not deadline.is_past and not observer.is_gone()


def _was_refused_by_leaving(result: JobResult) -> bool:
    answer = result.answer
    is_refusal = answer.outcome is messages.Outcome.NOT_RUN
    return is_refusal and answer.reason == admission_work.LEAVING


def _apply_earlier_attempts(result: JobResult, may_have_run: bool) -> JobResult:
    """Report "unknown" if the last attempt did not run but an earlier one may have."""
    answer = result.answer
    if answer.outcome is not messages.Outcome.NOT_RUN or not may_have_run:
        return result
    return JobResult(_build_unknown(answer.reason), result.peer)


def _build_route_request(
    job: Job, excluded: frozenset[str], deadline: clock.Deadline
) -> router.RouteRequest:
    terms = job.generation
    return router.RouteRequest(
        backend=job.backend,
        affinity=terms.prefix if terms else "",
        priority=job.priority,
        oldest_version=terms.oldest_version if terms else -1,
        excluded=excluded,
        budget_ms=deadline.remaining_ms,
    )


def _classify_outcome(answer: messages.Answer, observer: JobObserver) -> router.RouteOutcome:
    if answer.outcome is messages.Outcome.DONE or observer.is_gone():
        return router.RouteOutcome.OK
    if answer.outcome is messages.Outcome.NOT_RUN or answer.reason in _NO_FAILURES:
        return router.RouteOutcome.REFUSED
    if answer.reason == _TOO_LATE:
        return router.RouteOutcome.TIMED_OUT
    return router.RouteOutcome.FAILED


def _build_run(
    request_id: str,
    incarnation: str,
    job: Job,
    attempt: int,
    deadline: clock.Deadline,
    observer: JobObserver,
) -> messages.Run:
    terms = observer.resume(job.generation) if job.generation else None
    return messages.Run(
        request_id=request_id,
        trace_id=job.trace_id,
        incarnation=incarnation,
        customer=job.customer,
        operation=job.operation,
        key=job.key,
        digest="",
        attempt=attempt,
        shard=0,
        claim_offset=NO_CLAIM,
        repeatable=True,
        priority=int(job.priority),
        share_percent=job.share_percent,
        budget_ms=budgets.compute_budget_ms(deadline),
        body=job.body,
        generation=terms,
    )


def _build_not_run(reason: str, retry_after_ms: int) -> messages.Answer:
    return messages.Answer("", messages.Outcome.NOT_RUN, 0, reason, retry_after_ms, b"", 0)


def _build_unknown(reason: str) -> messages.Answer:
    return messages.Answer("", messages.Outcome.UNKNOWN, 0, reason, 0, b"", 0)
