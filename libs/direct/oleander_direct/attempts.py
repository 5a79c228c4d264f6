"""Single attempts to call a backend server, and the reports that each one produces."""

import collections.abc

import expression

from oleander_base import clock, log, metrics
from oleander_direct import crash_guard, fingerprints, servers
from oleander_duties import usage
from oleander_routing import router

AttemptResult = expression.Result[servers.CallAnswer, servers.CallFailure]
MAX_LOGGED_CHARACTERS = 80
"""The longest failure detail in a log line."""
FIRST_FAILURE_STATUS = 500
"""HTTP statuses from this one on count as failures of the server."""


class AttemptRunner:
    """
    Calls servers and reports each attempt to the router, the usage counter and the crash guard.

    Thread-safe.
    """

    def __init__(
        self,
        router_: router.Router,
        caller: servers.ServerCaller,
        counter: usage.UsageCounter | None,
        guard: crash_guard.CrashGuard | None,
    ) -> None:
        self._router = router_
        self._caller = caller
        self._counter = counter
        self._guard = guard

    def run(
        self,
        server: servers.Server,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
        is_windowed: bool = False,
    ) -> AttemptResult:
        """Call a server; return its answer to the request, or the failure if none was received."""
        started_at = clock.read_now()
        result = self._call_guarded(server, request, deadline, is_cancelled, is_windowed)
        milliseconds = (clock.read_now() - started_at) * 1000
        outcome = _classify_for_routing(result, deadline)
        if result.is_error() and result.error.was_sent and not result.error.was_cancelled:
            _log_failure(request, server, result.error, milliseconds)
        if result.is_ok() and outcome is not router.RouteOutcome.REFUSED:
            self._router.record_accepted(server.server_id, started_at)
        self._router.record_finished(
            server.server_id, outcome, milliseconds, is_windowed=is_windowed
        )
        return result

    def _call_guarded(
        self,
        server: servers.Server,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
        is_windowed: bool,
    ) -> AttemptResult:
        if self._guard is None:
            return self._call_counted(server, request, deadline, is_cancelled)
        watch = self._guard.begin(request, server, is_owed=is_windowed)
        result = self._call_counted(server, request, deadline, is_cancelled)
        self._guard.finish(watch, _classify_for_crash_guard(result))
        return result

    def _call_counted(
        self,
        server: servers.Server,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> AttemptResult:
        """Call a server and count the request for its organisation unless it did not start."""
        organisation = request.organisation
        if self._counter is None or not organisation:
            return self._call_server(server, request, deadline, is_cancelled)
        counted = self._counter.add(organisation)
        result = self._call_server(server, request, deadline, is_cancelled)
        if not _may_have_started(result):
            self._counter.undo(counted)
        return result

    def _call_server(
        self,
        server: servers.Server,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_cancelled: collections.abc.Callable[[], bool],
    ) -> AttemptResult:
        """Call a server; an unexpected exception counts as a missing answer."""
        try:
            return self._caller.call(server, request, deadline, is_cancelled)
        except Exception:
            log.logger.bind(event="call-failed", id=request.request_id).exception(
                "calling a server raised an unexpected exception"
            )
            return expression.Error(servers.CallFailure("internal error", True))


def _log_failure(
    request: servers.CallRequest,
    server: servers.Server,
    failure: servers.CallFailure,
    milliseconds: float,
) -> None:
    """Log an attempt that a server may have started to run but did not answer."""
    if failure.server_ended:
        metrics.count(metrics.SERVERS_ENDED)
    log.logger.bind(
        event="attempt",
        id=request.request_id,
        request=fingerprints.compute_fingerprint(request),
        server=server.incarnation,
        ms=int(milliseconds),
        server_ended=failure.server_ended,
        reason=failure.detail[:MAX_LOGGED_CHARACTERS],
    ).info("no answer")


def _may_have_started(result: AttemptResult) -> bool:
    if result.is_error():
        return result.error.was_sent
    return not result.ok.did_not_run and not result.ok.is_wrong_server


def _classify_for_crash_guard(result: AttemptResult) -> crash_guard.AttemptEnd:
    """
    Return how an attempt ended, as the crash guard counts it.

    A failure status does not show that the request is harmless: a server that aborted a request
    might have crashed if it had run the request to completion.
    """
    if result.is_ok():
        has_run = _may_have_started(result) and result.ok.status < FIRST_FAILURE_STATUS
        return crash_guard.AttemptEnd.ANSWERED if has_run else crash_guard.AttemptEnd.RESPONDED
    if not result.error.was_sent:
        return crash_guard.AttemptEnd.NOT_SENT
    if result.error.server_ended:
        return crash_guard.AttemptEnd.SERVER_ENDED
    return crash_guard.AttemptEnd.NO_ANSWER


def _classify_for_routing(result: AttemptResult, deadline: clock.Deadline) -> router.RouteOutcome:
    """
    Return an attempt's outcome for routing.

    An attempt that was cancelled before its deadline counts as timed out, because its duration
    says something about the server's latency.
    """
    if result.is_error():
        if result.error.was_cancelled and not deadline.is_past:
            return router.RouteOutcome.TIMED_OUT
        return router.RouteOutcome.FAILED
    if result.ok.did_not_run or result.ok.is_wrong_server:
        return router.RouteOutcome.REFUSED
    if result.ok.status >= FIRST_FAILURE_STATUS:
        return router.RouteOutcome.FAILED
    return router.RouteOutcome.OK
