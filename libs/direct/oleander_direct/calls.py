"""
Dispatch of callers' requests to backend servers, with retries and hedging.

A hedge is an attempt at a second server that starts while the first attempt is still running.
"""

import collections.abc
import concurrent.futures
import random

from oleander_base import clock, log, metrics
from oleander_direct import (
    attempts,
    call_outcomes,
    call_progress,
    crash_guard,
    directory,
    fair_share,
    fingerprints,
    retry_advice,
    routes,
    servers,
)
from oleander_duties import usage
from oleander_routing import retries, router

_REPLY_FRACTION = 0.05
"""The fraction of a caller's remaining time that is reserved for sending the answer back."""
_MAX_REPLY_SECONDS = 0.1
"""The upper limit of that reserve; exceeds a network trip in one region and a retransmission."""
_HEDGE_FRACTION = 0.4
"""
The fraction of the target latency after which a second server is asked.

It leaves the second server enough time to meet the target.
"""
_MAX_SAVED_HEDGES = 20
"""
How many unused hedges may be saved for a burst.

One slow server receives about this many calls in one second.
"""
_HEDGE_PERCENT = 15
"""
The limit on hedges, in percent of requests.

At this rate hedging costs the servers less than one slow server costs callers.
"""
_POLL_SECONDS = 0.05
"""The interval at which a waiting request checks whether its caller has disconnected."""
_MAX_RUNNING_ATTEMPTS = 64
"""The number of attempts that one process runs at once; further ones wait for a thread."""


_COUNTERS = {
    call_outcomes.Answered: metrics.ANSWERED,
    call_outcomes.Refused: metrics.REFUSED,
    call_outcomes.Unresolved: metrics.UNKNOWN,
}


class CallDispatcher:
    """
    Sends requests to servers, retries after failures, and hedges slow attempts.

    Thread-safe. Each attempt runs on a thread of a bounded pool, so that the calling thread can
    end the request when the caller disconnects.
    """

    def __init__(
        self,
        directory_: directory.Directory,
        router_: router.Router,
        caller: servers.ServerCaller,
        counter: usage.UsageCounter | None = None,
        limiter: fair_share.FairShareLimiter | None = None,
        guard: crash_guard.CrashGuard | None = None,
    ) -> None:
        """
        Create a dispatcher; the last three collaborators are optional.

        `counter` counts started requests for each organisation, `limiter` refuses organisations
        that exceed their fair share, and `guard` quarantines requests that crash servers.
        """
        self._guard = guard
        self._limiter = limiter
        self._directory = directory_
        self._router = router_
        self._attempts = attempts.AttemptRunner(router_, caller, counter, guard)
        self._hedges = retries.RetryBudget(_HEDGE_PERCENT, _MAX_SAVED_HEDGES)
        self._random = random.Random()
        self._retry_advisor = retry_advice.RetryAdvisor(
            self._random.getrandbits(32), clock.read_now
        )
        self._pool = concurrent.futures.ThreadPoolExecutor(_MAX_RUNNING_ATTEMPTS, "call")

    def call(
        self,
        route: routes.Route,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_caller_gone: collections.abc.Callable[[], bool],
        is_windowed: bool = False,
        keeps_to_slots: bool = False,
    ) -> call_outcomes.CallOutcome:
        """
        Dispatch a request; return the outcome at the latest a little before the deadline.

        The flags are those of `router.RouteRequest`.
        """
        organisation = request.organisation
        flags = is_windowed, keeps_to_slots
        if self._limiter is None or not organisation:
            return self._call(route, request, deadline, is_caller_gone, *flags)
        if not self._limiter.try_acquire(organisation):
            return self._refuse_over_share(route, request)
        try:
            return self._call(route, request, deadline, is_caller_gone, *flags)
        finally:
            self._limiter.release(organisation)

    def _refuse_over_share(
        self, route: routes.Route, request: servers.CallRequest
    ) -> call_outcomes.Refused:
        """Refuse a request of an organisation that exceeds its share while few slots are free."""
        refused = call_outcomes.Refused(
            "share-in-use", self._retry_advisor.advise_retry_after_ms(route.target_latency_ms)
        )
        metrics.count(metrics.REQUESTS)
        metrics.count(metrics.REFUSED)
        log.logger.bind(
            event="call",
            id=request.request_id,
            route=route.name,
            organisation=request.organisation,
            reason=refused.reason,
            retry_after_ms=refused.retry_after_ms,
        ).info("refused")
        return refused

    def _call(
        self,
        route: routes.Route,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_caller_gone: collections.abc.Callable[[], bool],
        is_windowed: bool,
        keeps_to_slots: bool,
    ) -> call_outcomes.CallOutcome:
        remaining = deadline.remaining
        reply_seconds = min(_MAX_REPLY_SECONDS, remaining * _REPLY_FRACTION)
        attempt_deadline = deadline.cap(
            max(0.0, min(remaining - reply_seconds, route.timeout_ms / 1000))
        )
        backend = route.pick_backend(self._random)
        progress = call_progress.CallProgress(
            request, route, backend, attempt_deadline, is_windowed, keeps_to_slots
        )
        self._hedges.record_first_attempt()
        outcome = self._run(progress, is_caller_gone)
        if isinstance(outcome, call_outcomes.Answered):
            self._retry_advisor.record_answered()
        self._record_outcome(progress, outcome, remaining - deadline.remaining)
        return outcome

    def _record_outcome(
        self,
        progress: call_progress.CallProgress,
        outcome: call_outcomes.CallOutcome,
        seconds: float,
    ) -> None:
        metrics.count(metrics.REQUESTS)
        metrics.count(_COUNTERS[type(outcome)])
        metrics.record_timing(metrics.REQUEST_MS, seconds * 1000)
        fields: dict[str, object] = {
            "event": "call",
            "id": progress.request.request_id,
            "route": progress.route.name,
            "backend": progress.backend,
            "asked": ",".join(sorted(progress.excluded)),
            "ms": int(seconds * 1000),
        }
        if isinstance(outcome, call_outcomes.Answered) and outcome.answer.is_success:
            answer = outcome.answer
            log.logger.bind(
                **fields,
                server=outcome.server_id,
                status=answer.status,
                bytes=len(answer.body),
                is_stamped=bool(answer.stamp),
                is_framed=answer.origin.is_framed,
                earlier_requests=answer.origin.earlier_requests,
            ).info("answered")
            return
        table = self._directory.table
        log.logger.bind(
            **fields,
            request=fingerprints.compute_fingerprint(progress.request),
            reason=progress.reason,
            configuration=table.version if table else None,
            servers=len(self._directory.list_servers(progress.backend)),
            list_age_ms=int(self._directory.list_age_seconds * 1000),
        ).info(type(outcome).__name__.lower())

    def _run(
        self,
        progress: call_progress.CallProgress,
        is_caller_gone: collections.abc.Callable[[], bool],
    ) -> call_outcomes.CallOutcome:
        running: dict[concurrent.futures.Future[attempts.AttemptResult], str] = {}
        hedge_at = clock.read_now() + progress.route.target_latency_ms * _HEDGE_FRACTION / 1000
        try:
            while True:
                if not running and not self._start_attempt(progress, running):
                    return progress.conclude(self._retry_advisor)
                pause = min(_POLL_SECONDS, progress.deadline.remaining)
                done, _ = concurrent.futures.wait(
                    running, pause, concurrent.futures.FIRST_COMPLETED
                )
                for future in done:
                    server_id = running.pop(future)
                    outcome = progress.record_attempt(future.result(), server_id)
                    if outcome is not None:
                        return outcome
                if is_caller_gone():
                    progress.may_have_run = True
                    progress.reason = "caller-gone"
                    return progress.conclude(self._retry_advisor)
                if progress.deadline.is_past:
                    progress.may_have_run = progress.may_have_run or bool(running)
                    progress.reason = "timeout"
                    return progress.conclude(self._retry_advisor)
                if len(running) == 1 and clock.read_now() >= hedge_at:
                    self._hedge(progress, running)
        finally:
            progress.is_finished = True

    def _hedge(
        self,
        progress: call_progress.CallProgress,
        running: dict[concurrent.futures.Future[attempts.AttemptResult], str],
    ) -> None:
        """
        Start a hedge, since the first server may be slow or unresponsive, or its answer lost.

        A request that is suspected of crashing servers is not hedged: it could crash both.
        """
        if not progress.request.may_repeat or not progress.may_send:
            return
        if not progress.was_suspect and self._hedges.try_spend():
            metrics.count(metrics.HEDGES)
            self._start_attempt(progress, running)

    def _start_attempt(
        self,
        progress: call_progress.CallProgress,
        running: dict[concurrent.futures.Future[attempts.AttemptResult], str],
    ) -> bool:
        if not progress.may_send:
            progress.reason = progress.reason or "attempts-used"
            return False
        progress.quarantine = self._find_quarantine(progress)
        if progress.quarantine is not None:
            progress.reason = call_outcomes.QUARANTINED
            metrics.count(metrics.QUARANTINED)
            return False
        chosen = self._choose_server(progress)
        if chosen is None:
            return False
        progress.excluded.add(chosen.server_id)
        progress.sent_count += 1
        self._router.record_started(chosen.server_id, progress.is_windowed)
        if progress.sent_count > 1:
            metrics.count(metrics.RETRIES)
        running[self._submit_attempt(progress, chosen)] = chosen.server_id
        return True

    def _submit_attempt(
        self, progress: call_progress.CallProgress, server: servers.Server
    ) -> concurrent.futures.Future[attempts.AttemptResult]:
        return self._pool.submit(
            self._attempts.run,
            server,
            progress.request,
            progress.deadline,
            lambda: progress.is_finished,
            progress.is_windowed,
        )

    def _find_quarantine(self, progress: call_progress.CallProgress) -> clock.Deadline | None:
        if self._guard is None or progress.is_windowed:
            return None
        return self._guard.find_quarantine(progress.request)

    def _choose_server(self, progress: call_progress.CallProgress) -> servers.Server | None:
        """Return the next server, if possible one that is not running another suspect request."""
        guard = self._guard if not progress.is_windowed else None
        if guard is not None and guard.is_suspect(progress.request):
            progress.was_suspect = True
            chosen = self._choose_excluding(progress, guard.list_suspect_servers())
            if chosen is not None:
                return chosen
        return self._choose_excluding(progress, frozenset())

    def _choose_excluding(
        self, progress: call_progress.CallProgress, avoided: frozenset[str]
    ) -> servers.Server | None:
        route_request = router.RouteRequest(
            backend=progress.backend,
            affinity="",
            priority=progress.priority,
            oldest_version=-1,
            excluded=avoided | progress.excluded,
            budget_ms=progress.deadline.remaining_ms,
            may_probe=progress.request.may_repeat,
            is_windowed=progress.is_windowed,
            keeps_to_slots=progress.keeps_to_slots,
        )
        chosen = self._router.choose(route_request)
        if chosen.is_error():
            progress.reason = chosen.error.reason
            return None
        return self._directory.find_server(chosen.ok)
