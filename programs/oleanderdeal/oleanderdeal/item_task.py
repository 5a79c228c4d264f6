"""Generates the text of one item on an engine, requests its score and returns the result."""

import collections.abc
import threading

from oleander_base import clock, log, metrics, tasks
from oleander_batches import submission
from oleander_direct import call_outcomes, calls, crash_guard, directory, routes, servers
from oleander_routing import router
from oleander_samples import steps, urgency
from oleanderdeal import batch_run

_STREAM_TIMEOUT_SECONDS = 30.0
"""Bound on a whole stream, far above the longest text. `_SILENCE_TIMEOUT_SECONDS` ends a stream
that hangs."""
_SILENCE_TIMEOUT_SECONDS = 2.5
"""An attempt is aborted when its engine sends no event for this time, which exceeds the pause of a
weight change."""
_SCORING_TIMEOUT_SECONDS = 3.0
"""Bound on one scoring call, short enough that after a hang a second call can still be in time for
the step."""
_SCORING_RETRY_SECONDS = 0.05
"""Pause before a scoring call is tried again."""
_MAX_SLOT_WAIT_SECONDS = 0.05
"""Longest pause before a scoring that waits for a slot looks for one again; it is woken earlier
when another scoring of this process ends."""
_CRASH_PAUSE_SECONDS = 0.2
"""Pause before a scoring is tried again after a server ended under it; each further end doubles
it."""
_MAX_CRASH_PAUSE_SECONDS = 4.0
"""Longest such pause. The platform takes an item that is sent nowhere for five seconds for
lost."""
_MAX_DOUBLINGS = 10  # 2.0 ** 1024 overflows
_EVENTS_PER_PACE_REPORT = 5
"""Number of events between two reports of the time of an event to the typical times."""
_UNPROCESSABLE_STATUS = 422
"""Status with which a server rejects an item that can never succeed."""


class ItemRunner:
    """Runs items on the calling thread; safe to use from several threads."""

    def __init__(
        self,
        server_directory: directory.Directory,
        router_: router.Router,
        caller: servers.ServerCaller,
        dispatcher: calls.CallDispatcher,
        group: tasks.TaskGroup,
        guard: crash_guard.CrashGuard | None = None,
    ) -> None:
        self._guard = guard
        self._directory = server_directory
        self._router = router_
        self._caller = caller
        self._dispatcher = dispatcher
        self._group = group
        self._scoring_ended = threading.Condition()

    def run_item(
        self,
        item: batch_run.ItemWork,
        server: servers.Server,
        on_dequeued: collections.abc.Callable[[], None] = lambda: None,
    ) -> submission.ItemResult | None:
        """
        Return the item's result, or `None` if it must be tried again.

        `on_dequeued` is called once, when the server has started the item or the attempt has
        ended before that. Another item may then be sent to the server.
        """
        attempt = _ItemAttempt(self._caller, self._router, item, server, on_dequeued)
        ended = self._run_attempt(attempt, item, server)
        if isinstance(ended, submission.ItemResult):
            return ended
        if ended is None:
            return None
        return self._score(item, ended)

    def _run_attempt(
        self, attempt: "_ItemAttempt", item: batch_run.ItemWork, server: servers.Server
    ) -> steps.Sample | submission.ItemResult | None:
        """
        Run one attempt and report its outcome to the router.

        An unexpected exception ends the attempt like a broken stream. If the item stayed marked as
        running it would never be tried again, and its step would wait for it until it is late.
        """
        started_at = clock.read_now()
        result = None
        guard = self._guard
        watch = guard.begin(item.call, server, is_owed=True) if guard is not None else None
        try:
            result = attempt.run()
            if attempt.was_error:
                result = self._conclude_error(item)
        except Exception:
            log.logger.bind(event="item-failed", id=item.item.item_id).exception(
                "unexpected error in an attempt; the item is tried again"
            )
            attempt.reason = "internal-error"
            item.run.fail(item)
        finally:
            attempt.leave_queue()
            if guard is not None and watch is not None:
                guard.finish(watch, attempt.classify_end(result))
        seconds = clock.read_now() - started_at
        route_outcome, milliseconds = attempt.compute_rating(seconds)
        self._router.record_finished(
            server.server_id, route_outcome, milliseconds, is_windowed=True
        )
        _log_attempt(item, server, attempt, seconds)
        return result

    def _conclude_error(self, item: batch_run.ItemWork) -> submission.ItemResult | None:
        """Return a "lost" result if too many servers failed on the item, else try it again."""
        route = self._find_route(item)
        if route is None or item.run.count_error(item.item_number) < route.max_servers:
            item.run.fail(item)
            return None
        item.run.settle(item)
        return _build_lost_result(item.item)

    def _find_route(self, item: batch_run.ItemWork) -> routes.Route | None:
        table = self._directory.table
        submitted = item.run.submitted
        return table.match(submitted.host, submitted.path) if table else None

    def _score(
        self, item: batch_run.ItemWork, sample: steps.Sample
    ) -> submission.ItemResult | None:
        """Request the score until there is one, because a text without a score is of no use."""
        scoring = item.item.scoring
        if scoring is None:
            return _build_done_result(item.item, sample, "")
        errors = 0
        crashes = 0
        pause = _SCORING_RETRY_SECONDS
        while item.run.is_result_wanted and not self._group.is_stopping:
            table = self._directory.table
            route = table.match(scoring.host, scoring.path) if table else None
            if route is not None and self._wait_for_slot(route, item):
                outcome = self._request_score(route, scoring, item)
                if isinstance(outcome, call_outcomes.Answered):
                    if outcome.answer.is_success and outcome.answer.stamp:
                        return _build_done_result(item.item, sample, outcome.answer.stamp)
                    errors += outcome.error_count
                    if errors >= route.max_servers:
                        return _build_lost_result(item.item)
                pause = _SCORING_RETRY_SECONDS
                if isinstance(outcome, call_outcomes.Unresolved) and outcome.has_ended_server:
                    pause = min(_MAX_CRASH_PAUSE_SECONDS, _CRASH_PAUSE_SECONDS * 2.0**crashes)
                    crashes = min(crashes + 1, _MAX_DOUBLINGS)
            self._group.pause(pause)
        return None

    def _wait_for_slot(self, route: routes.Route, item: batch_run.ItemWork) -> bool:
        """
        Wait until a server has a slot that no scoring of this process uses; False if not wanted.

        Scorings leave capacity to interactive requests unless the slack of their step is used up.
        """
        is_held = False
        backends = [share.backend for share in route.shares if share.weight > 0]
        while not item.run.is_slack_used_up:
            if any(self._router.has_spare_slots(backend) for backend in backends):
                break
            if not item.run.is_result_wanted or self._group.is_stopping:
                return False
            if not is_held:
                metrics.count(metrics.SCORINGS_HELD)
            is_held = True
            with self._scoring_ended:
                self._scoring_ended.wait(_MAX_SLOT_WAIT_SECONDS)
        return True

    def _request_score(
        self, route: routes.Route, scoring: submission.Scoring, item: batch_run.ItemWork
    ) -> call_outcomes.CallOutcome:
        request = servers.CallRequest(
            scoring.request_id, scoring.host, "POST", scoring.path, (), scoring.body, True
        )
        started_at = clock.read_now()
        outcome = self._dispatcher.call(
            route,
            request,
            clock.start_deadline(_SCORING_TIMEOUT_SECONDS),
            lambda: not item.run.is_result_wanted,
            is_windowed=True,
            keeps_to_slots=not item.run.is_slack_used_up,
        )
        if isinstance(outcome, call_outcomes.Answered) and outcome.answer.is_success:
            item.run.times.record_scoring(clock.read_now() - started_at)
        with self._scoring_ended:
            self._scoring_ended.notify()
        return outcome


class _ItemAttempt:
    """One attempt to generate one item: a request to a server and its event stream."""

    def __init__(
        self,
        caller: servers.ServerCaller,
        router_: router.Router,
        item: batch_run.ItemWork,
        server: servers.Server,
        on_dequeued: collections.abc.Callable[[], None],
    ) -> None:
        self._caller = caller
        self._router = router_
        self._item = item
        self._batch_run = item.run
        self._server = server
        self._on_dequeued = on_dequeued
        self._is_queued = True
        self._started_at = clock.read_now()
        self._last_event_at = self._started_at
        self._first_event_at = 0.0
        self._pace_reported_at = 0.0
        self._events = 0
        self._longest_gap_seconds = 0.0
        self.was_refused = False
        """Whether the server answered that it did not run the item."""
        self._was_cancelled = False
        self.was_answered = False
        """Whether the server sent an answer in place of a stream."""
        self.was_error = False
        """Whether the server answered with an error that counts towards giving the item up. The
        number of such errors then decides whether the item is tried again."""
        self.server_ended = False
        self.was_sent = True
        self.reason = ""
        """Why the attempt failed; empty if its text is complete."""

    def run(self) -> steps.Sample | submission.ItemResult | None:
        """Return the complete text, a final result, or `None` if the item is to be tried again."""
        call = self._item.call
        request = servers.GenerateRequest(call, self._item.resumed_events, self._item.urgency)
        deadline = clock.start_deadline(_STREAM_TIMEOUT_SECONDS)
        opened = self._caller.generate(self._server, request, deadline, self._should_abort)
        if opened.is_error():
            self._fail(opened.error)
            return None
        if isinstance(opened.ok, servers.CallAnswer):
            return self._handle_answer(opened.ok)
        return self._read_stream(opened.ok)

    def leave_queue(self) -> None:
        """Stop counting the item as queued at its server; repeated calls change nothing."""
        if self._is_queued:
            self._is_queued = False
            self._router.remove_pending_stream(self._server.server_id)
            self._on_dequeued()

    def compute_rating(self, seconds: float) -> tuple[router.RouteOutcome, float]:
        """
        Return the outcome for the router, and a duration in milliseconds.

        It is the time per event, or the whole time if the item was refused or sent no event.
        """
        milliseconds = seconds * 1000
        if self.was_refused:
            return router.RouteOutcome.REFUSED, milliseconds
        if self._events:
            stream_seconds = clock.read_now() - self._first_event_at
            milliseconds = stream_seconds * 1000 / self._events
        if self.reason and not self._was_cancelled:
            return router.RouteOutcome.FAILED, milliseconds
        return router.RouteOutcome.OK, milliseconds

    def classify_end(
        self, ended: steps.Sample | submission.ItemResult | None
    ) -> crash_guard.AttemptEnd:
        """Return how the attempt ended; only a complete text proves that its server survived."""
        if self.server_ended:
            return crash_guard.AttemptEnd.SERVER_ENDED
        if isinstance(ended, steps.Sample):
            return crash_guard.AttemptEnd.ANSWERED
        if self.was_answered or ended is not None:
            return crash_guard.AttemptEnd.RESPONDED
        return (
            crash_guard.AttemptEnd.NO_ANSWER if self.was_sent else crash_guard.AttemptEnd.NOT_SENT
        )

    @property
    def events(self) -> int:
        """Number of events received."""
        return self._events

    @property
    def first_ms(self) -> int:
        """Milliseconds from the attempt's start to its first event, or -1 without one."""
        return int((self._first_event_at - self._started_at) * 1000) if self._events else -1

    @property
    def longest_gap_ms(self) -> int:
        """Longest time between two events, in milliseconds."""
        return int(self._longest_gap_seconds * 1000)

    def _read_stream(self, stream: servers.EventStream) -> steps.Sample | None:
        while True:
            read = stream.read_event()
            if read.is_error():
                stream.close()
                self._fail(read.error)
                return None
            if read.ok.is_end:
                sample = self._batch_run.finish(self._item)
                self.reason = "" if sample else "unusable"
                return sample
            now = clock.read_now()
            self._report_event(now)
            self._last_event_at = now
            self._events += 1
            self._batch_run.record_event(self._item, read.ok.text, read.ok.version)
            if self._batch_run.is_cancelled(self._item):
                stream.close()
                self._was_cancelled = True
                self.reason = "cancelled"
                self._batch_run.fail(self._item)
                return None

    def _report_event(self, now: float) -> None:
        """
        Report the time since the last event, or the wait for the first one, to the router.

        If this were reported only at the end, a server that becomes slow would look fast while its
        texts run, and texts of other servers would be moved to it.
        """
        name = self._server.server_id
        seconds = now - self._last_event_at
        if self._events:
            self._longest_gap_seconds = max(self._longest_gap_seconds, seconds)
            self._router.record_event_interval(name, seconds * 1000)
            self._report_pace(now)
            return
        self._first_event_at = self._pace_reported_at = now
        self._router.record_first_event(name, seconds * 1000)
        self._router.record_accepted(name, self._started_at)
        self.leave_queue()

    def _report_pace(self, now: float) -> None:
        """Report the mean time of an event every few events, since some arrive together."""
        if self._events % _EVENTS_PER_PACE_REPORT == 0:
            seconds = (now - self._pace_reported_at) / _EVENTS_PER_PACE_REPORT
            self._batch_run.times.record_event_interval(seconds)
            self._pace_reported_at = now

    def _should_abort(self) -> bool:
        if self._batch_run.is_cancelled(self._item):
            self._was_cancelled = True
            return True
        return clock.read_now() - self._last_event_at > _SILENCE_TIMEOUT_SECONDS

    def _fail(self, failure: servers.CallFailure) -> None:
        self.reason = failure.detail[:80]
        self.server_ended = failure.server_ended
        self.was_sent = failure.was_sent
        self._batch_run.fail(self._item, failure.server_ended)

    def _handle_answer(self, answer: servers.CallAnswer) -> submission.ItemResult | None:
        self.was_answered = True
        self.reason = f"status-{answer.status}"
        if answer.did_not_run or answer.is_wrong_server:
            self.was_refused = True
            self._batch_run.requeue(self._item)
            return None
        if answer.status == _UNPROCESSABLE_STATUS:
            self._batch_run.settle(self._item)
            return _build_lost_result(self._item.item)
        self.was_error = answer.status == servers.FAILED_STATUS
        if not self.was_error:
            self._batch_run.fail(self._item)
        return None


def _build_done_result(
    item: submission.Item, sample: steps.Sample, score: str
) -> submission.ItemResult:
    versions = tuple(sorted({part.version for part in sample.label}))
    state = submission.ResultState.DONE
    return submission.ItemResult(item.item_id, state, sample.text, versions, score)


def _build_lost_result(item: submission.Item) -> submission.ItemResult:
    return submission.ItemResult(item.item_id, submission.ResultState.LOST, "", (), "")


def _log_attempt(
    item: batch_run.ItemWork, server: servers.Server, attempt: _ItemAttempt, seconds: float
) -> None:
    metrics.count(metrics.ITEMS_STARTED)
    metrics.record_timing(metrics.ITEM_MS, seconds * 1000)
    metrics.count(metrics.ITEMS_BY_CLASS[item.urgency - urgency.MOST_URGENT])
    if item.standing != urgency.Standing.NEEDED.name.lower():
        metrics.count(metrics.ITEMS_YIELDED)
    if attempt.reason:
        if attempt.server_ended:
            metrics.count(metrics.SERVERS_ENDED)
        metrics.count(metrics.ITEMS_REFUSED if attempt.was_refused else metrics.ITEMS_BROKEN)
    log.logger.bind(
        event="item",
        id=item.item.item_id,
        batch=item.run.submitted.batch_id,
        server=server.server_id,
        resumed=item.resumed_events,
        urgency=item.urgency,
        slack_ms=item.slack_ms,
        standing=item.standing,
        ms=int(seconds * 1000),
        first_ms=attempt.first_ms,
        events=attempt.events,
        gap_ms=attempt.longest_gap_ms,
        server_ended=attempt.server_ended,
        reason=attempt.reason,
    ).info("broke off" if attempt.reason else "whole")
