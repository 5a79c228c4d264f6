"""Steps for callers that arrive while servers are full."""

import collections
import dataclasses

import behave
import expression

import server_fakes
import virtual_time
from oleander_base import clock
from oleander_direct import call_outcomes, calls, directory, retry_advice, routes, servers
from oleander_routing import router
from oleanderdeal import direct_entry

_SERVICE_SECONDS = 0.06
_OBJECTIVE_SECONDS = 0.6
_LONGEST_RETRY_MS = 1000


@dataclasses.dataclass(slots=True)
class CallerStory:
    """What one caller met."""

    started_at: float
    served_at: float = 0.0
    refusals: list = dataclasses.field(default_factory=list)


class PlacesCaller(server_fakes.FailingCaller):
    """Servers with places; a request that finds none is refused and has not run."""

    def __init__(self, places, time):
        self.places = places
        self._time = time
        self._busy = collections.Counter()
        self.came = collections.Counter()
        self.refused = collections.Counter()
        self.ran = set()

    def call(self, server, request, deadline, is_cancelled):
        name = server.server_id
        self.came[name] += 1
        if self._busy[name] >= self.places[name]:
            self.refused[name] += 1
            return expression.Ok(servers.CallAnswer(503, (), b"", True, False, ""))
        self._busy[name] += 1
        self.ran.add(request.request_id)
        self._time.sleep(_SERVICE_SECONDS)
        self._busy[name] -= 1
        return expression.Ok(servers.CallAnswer(200, (), b"", False, False, ""))


@behave.given("full-load servers with the places {listed}")
def create_servers(context, listed):
    places = {f"s{number}": int(count) for number, count in enumerate(listed.split())}
    context.time = virtual_time.VirtualTime()
    context.caller = PlacesCaller(places, context.time)
    with context.time.replace_in(calls):
        chooser = router.Router(11, context.time.read_now)
        known = directory.Directory(chooser, context.caller)
        for name, count in places.items():
            known.update_server(
                servers.Server(name, 1, "desk", "127.0.0.1:1", "z", count, False, ())
            )
        context.dispatcher = calls.CallDispatcher(known, chooser, context.caller)
    context.entry_threads = virtual_time.VirtualSemaphore(context.time, direct_entry.HTTP_THREADS)
    context.rate = sum(places.values()) / _SERVICE_SECONDS


def _route():
    share = (routes.Share("desk", 1),)
    kind = routes.RouteKind.IDEMPOTENT
    target_latency_ms = int(_OBJECTIVE_SECONDS * 1000)
    return routes.Route(
        "r", "h", "/", kind, 5000, target_latency_ms, 0, share, 3, False, False, 0, 0
    )


def _live(context, number):
    """Ask until served or too late, and tell what happened."""
    story = CallerStory(context.time.read_now())
    context.stories[str(number)] = story
    request = servers.CallRequest(str(number), "h", "POST", "/", (), b"", True)
    while True:
        left = story.started_at + _OBJECTIVE_SECONDS - context.time.read_now()
        if left <= 0:
            return
        with context.entry_threads:
            sent_at = context.time.read_now()
            left = story.started_at + _OBJECTIVE_SECONDS - sent_at
            outcome = context.dispatcher.call(
                _route(), request, clock.start_deadline(left), lambda: False
            )
        if isinstance(outcome, call_outcomes.Answered):
            story.served_at = context.time.read_now()
            return
        if isinstance(outcome, call_outcomes.Unresolved):
            context.overrun.append(context.time.read_now() - story.started_at - _OBJECTIVE_SECONDS)
            return
        story.refusals.append((context.time.read_now() - sent_at, outcome.retry_after_ms))
        if str(number) in context.caller.ran:
            context.untrue.append(number)
        context.time.sleep(outcome.retry_after_ms / 1000)


@behave.when("callers arrive for {seconds:g} s at {load:g} of what these can do")
def arrive(context, seconds, load):
    context.stories = {}
    context.untrue = []
    context.overrun = []
    context.offered = int(context.rate * load * seconds)
    context.could_serve = min(1.0, load) * context.rate * seconds
    with context.time.replace_in(calls):
        context.time.play(_let_arrive, context, context.rate * load)


def _let_arrive(context, rate):
    began_at = context.time.read_now()
    for number in range(context.offered):
        context.time.sleep(began_at + number / rate - context.time.read_now())
        context.time.start(_live, context, number)


def _count_served(context):
    return sum(
        story.served_at - story.started_at <= _OBJECTIVE_SECONDS
        for story in context.stories.values()
        if story.served_at
    )


@behave.then("at least {percent:d} percent of what could be served is served in time")
def check_served(context, percent):
    served = _count_served(context)
    assert served >= context.could_serve * percent / 100, (served, context.could_serve)


@behave.then("at most {percent:d} percent of the callers are served late or not at all")
def check_left_out(context, percent):
    left_out = context.offered - _count_served(context)
    assert left_out <= context.offered * percent / 100, (left_out, context.offered)


@behave.then(
    "a refusal takes the entry less than {milliseconds:d} ms, is true, and says when to come back"
)
def check_refusals(context, milliseconds):
    assert not context.untrue, context.untrue
    refusals = [item for story in context.stories.values() for item in story.refusals]
    for seconds, retry_after_ms in refusals:
        assert 0 < retry_after_ms <= _LONGEST_RETRY_MS, retry_after_ms
        assert seconds < _OBJECTIVE_SECONDS, seconds
    assert all(seconds <= 0 for seconds in context.overrun), context.overrun
    late = [seconds for seconds, _ in refusals if seconds * 1000 > milliseconds]
    assert len(late) <= len(refusals) // 20, sorted(late)


@behave.then("no server refuses more than {percent:d} percent of what comes to it")
def check_placing(context, percent):
    caller = context.caller
    parts = {name: caller.refused[name] / max(1, caller.came[name]) for name in caller.places}
    assert max(parts.values()) <= percent / 100, parts


@behave.given(
    "{answered:d} answers and {refused:d} refusals each second, for callers with {objective:d} ms"
)
def count_outcomes(context, answered, refused, objective):
    context.now = 0.0
    context.objective = objective
    context.advice = retry_advice.RetryAdvisor(5, lambda: context.now)
    for _ in range(2):
        for _ in range(answered):
            context.advice.record_answered()
        for _ in range(refused):
            context.advice.advise_retry_after_ms(objective)
        context.now += 1.0


@behave.when("{seconds:d} s have passed")
def pass_seconds(context, seconds):
    context.now = float(seconds)


@behave.then("a refused caller comes back after {least:d} to {most:d} ms")
def check_advice(context, least, most):
    context.advised = [context.advice.advise_retry_after_ms(context.objective) for _ in range(9)]
    assert least <= min(context.advised) and max(context.advised) <= most, context.advised


@behave.then("refused callers don't come back together")
def check_spread(context):
    assert len(set(context.advised)) > 5, context.advised


@behave.then("the first caller that is refused comes back within {most:d} ms")
def check_first(context, most):
    advised = context.advice.advise_retry_after_ms(context.objective)
    assert advised <= most, advised
