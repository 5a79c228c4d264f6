"""Steps for texts that stay at their server or are moved, by the events seen there."""

import re

import behave

from oleander_routing import peers, router
from oleander_samples import moves, scheduler, steps
from oleanderdeal import batch_run, completion

_BACKEND = "engines"
_TEXT_EVENTS = 100
_SEEN = re.compile(r"(\d+) events of (\d+) ms")
_HERE, _ELSEWHERE = "here", "elsewhere"


def _show_events(context, name, seen, on_event=lambda: None):
    count, milliseconds = map(int, _SEEN.match(seen).groups())
    context.now += milliseconds / 1000
    context.router.record_first_event(name, 0.0)
    for _ in range(count):
        context.now += milliseconds / 1000
        context.router.record_event_interval(name, milliseconds)
        on_event()


@behave.given("another server that was seen with {seen}")
def create_router(context, seen):
    context.now = 1000.0
    context.router = router.Router(1, lambda: context.now)
    for name in (_HERE, _ELSEWHERE):
        report = peers.PeerReport(
            "z", _BACKEND, "1", 0, 0, 8, 0, None, in_rotation=True, leaving=False
        )
        context.router.update(name, report)
    _show_events(context, _ELSEWHERE, seen)


@behave.when("the text has begun at its server with {seen}")
def begin_text(context, seen):
    request = router.RouteRequest(
        _BACKEND, "", 0, -1, frozenset(), 60_000, is_windowed=True, expected_events=_TEXT_EVENTS
    )
    estimator = completion.ServerEstimator(context.router, lambda: request, 1)
    group = steps.Group("", "g", 1, 2 * _TEXT_EVENTS, _TEXT_EVENTS)
    step = steps.Step("", "m", 0, 0, 1, (group,))
    plan = scheduler.WorkScheduler(
        step,
        batch_run.STRAGGLER_POLICY,
        1,
        completion=moves.StepCompletion(estimator, ("g",), 1),
    )
    started = plan.start_next(context.now, True)
    estimator.record_server(0, _HERE)
    context.router.record_started(_HERE, is_windowed=True)
    _show_events(
        context,
        _HERE,
        seen,
        lambda: plan.record_progress(started.work_id, "x", 1, 1, context.now),
    )
    context.moved = plan.start_next(context.now, True)


@behave.then("it {stays}")
def check_stays(context, stays):
    assert (context.moved is not None) == (stays == "moves"), context.moved
