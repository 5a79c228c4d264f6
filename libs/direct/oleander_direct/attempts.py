"""One attempt of a call at one backend server, and what it says of that server."""

import collections.abc

import expression

from oleander_base import clock, log, metrics
from oleander_direct import crash_guard, fingerprints, servers
from oleander_duties import usage
from oleander_routing import router

Attempted = expression.Result[servers.CallAnswer, servers.CallFailure]
MOST_LOGGED_CHARACTERS = 80
"""Of a failure in a log line."""
FIRST_FAILURE_STATUS = 500


class AttemptRunner:
    """
    Calls servers, rates them for routing, and reports to usage counts and the crash guard.

    Safe to use from several threads.
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
        is_over: collections.abc.Callable[[], bool],
    ) -> Attempted:
        """Return a server's answer to a request, or why there is none."""
        started_at = clock.read_now()
        answered = self._call_guarded(server, request, deadline, is_over)
        milliseconds = (clock.read_now() - started_at) * 1000
        outcome = _rate(answered, deadline)
        if answered.is_error() and answered.error.was_sent and not answered.error.was_cancelled:
            _log_failure(request, server, answered.error, milliseconds)
        if answered.is_ok() and outcome is not router.RouteOutcome.REFUSED:
            self._router.record_accepted(server.server_id, started_at)
        self._router.record_finished(server.server_id, outcome, milliseconds)
        return answered

    def _call_guarded(
        self,
        server: servers.Server,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_over: collections.abc.Callable[[], bool],
    ) -> Attempted:
        if self._guard is None:
            return self._call_counted(server, request, deadline, is_over)
        watch = self._guard.begin(request, server)
        answered = self._call_counted(server, request, deadline, is_over)
        self._guard.finish(watch, _read_end(answered))
        return answered

    def _call_counted(
        self,
        server: servers.Server,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_over: collections.abc.Callable[[], bool],
    ) -> Attempted:
        """Call a server, and count the request for its organisation unless it did not begin."""
        organisation = request.organisation
        if self._counter is None or not organisation:
            return self._call_server(server, request, deadline, is_over)
        counted = self._counter.add(organisation)
        answered = self._call_server(server, request, deadline, is_over)
        if not _may_have_begun(answered):
            self._counter.take_back(counted)
        return answered

    def _call_server(
        self,
        server: servers.Server,
        request: servers.CallRequest,
        deadline: clock.Deadline,
        is_over: collections.abc.Callable[[], bool],
    ) -> Attempted:
        """Call a server; an unexpected error counts as an answer that did not come."""
        try:
            return self._caller.call(server, request, deadline, is_over)
        except Exception:
            log.logger.bind(event="call-failed", id=request.request_id).exception(
                "its caller may ask another server"
            )
            return expression.Error(servers.CallFailure("internal error", True))


def _log_failure(
    request: servers.CallRequest,
    server: servers.Server,
    failure: servers.CallFailure,
    milliseconds: float,
) -> None:
    """Log an attempt that a server may have begun and did not answer."""
    if failure.server_ended:
        metrics.count(metrics.SERVERS_ENDED)
    log.logger.bind(
        event="attempt",
        id=request.request_id,
        request=fingerprints.compute_fingerprint(request),
        server=server.incarnation,
        ms=int(milliseconds),
        server_ended=failure.server_ended,
        reason=failure.detail[:MOST_LOGGED_CHARACTERS],
    ).info("no answer")


def _may_have_begun(answered: Attempted) -> bool:
    if answered.is_error():
        return answered.error.was_sent
    return not answered.ok.did_not_run and not answered.ok.is_other_server


def _read_end(answered: Attempted) -> crash_guard.AttemptEnd:
    """Tell how an attempt ended; a server that gave a request up might have ended later."""
    if answered.is_ok():
        has_run = _may_have_begun(answered) and answered.ok.status < FIRST_FAILURE_STATUS
        return crash_guard.AttemptEnd.ANSWERED if has_run else crash_guard.AttemptEnd.HEARD
    if not answered.error.was_sent:
        return crash_guard.AttemptEnd.NOT_SENT
    if answered.error.server_ended:
        return crash_guard.AttemptEnd.SERVER_ENDED
    return crash_guard.AttemptEnd.NO_ANSWER


def _rate(answered: Attempted, deadline: clock.Deadline) -> router.RouteOutcome:
    """Tell what an attempt says of its server; one that was cancelled says only how long."""
    if answered.is_error():
        if answered.error.was_cancelled and not deadline.is_past:
            return router.RouteOutcome.TIMED_OUT
        return router.RouteOutcome.FAILED
    if answered.ok.did_not_run or answered.ok.is_other_server:
        return router.RouteOutcome.REFUSED
    if answered.ok.status >= FIRST_FAILURE_STATUS:
        return router.RouteOutcome.FAILED
    return router.RouteOutcome.OK
